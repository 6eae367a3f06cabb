// Package serve has the command that runs the process of an entry VM on the users' platform.
package serve
