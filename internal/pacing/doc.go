// Package pacing keeps how fast the machines of runners are, and predicts from it which streams will pause for too long.
//
// A runner on a shared machine reports how long work takes there at the moment, as a percentage of the usual time. That figure is the
// product of a constant of the machine and of slow spells of less than a second. The lowest figure of several seconds is the constant
// part, the runner's pace: 60 is a fast runner, 160 a slow one. One VM hears from a runner too rarely to know it, so VMs report what
// they see to the lease holder, which sends the paces to all of them.
//
// The package has no threads and no I/O, and its types are not safe for concurrent use.
package pacing
