// Package serving runs the process of an entry VM on the users' platform: it connects the core packages to the platform
// adapter and runs their loops.
package serving
