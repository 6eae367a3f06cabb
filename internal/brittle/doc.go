// Package brittle decides whether a VM may send a request to a runner that must not be overrun.
//
// Load pattern: the runners of a service state that they end if they have to reject more than some requests within a second. All VMs
// send to each of them, by figures that are some tenths of a second old, and together they overrun a queue that holds few requests. So
// each VM takes only its share of the room that a runner has, and after a rejection sends no more than what the runner has taken. All
// VMs count, also those that no other VM hears from, because a runner's own figures include their requests.
//
// The package has no threads and no I/O, and its types are not safe for concurrent use.
package brittle
