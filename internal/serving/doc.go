// Package serving is the process of an entry VM on the users' platform: it wires the core to the platform's adapter and runs
// its threads.
package serving
