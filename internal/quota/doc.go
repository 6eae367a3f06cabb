// Package quota divides the quotas of client accounts among all VMs. It has no I/O, goroutines or clocks; times are durations since
// the VM was booted, suspension included.
//
// It answers this load pattern: accounts use a bit more than half of their quota most of the time and four to eight times that for
// seconds; their clients reach few of the VMs, unevenly, because a client stays with a VM for a connection; and a small account's quota
// is less than two requests per second, so that an even split would leave every VM less than one request.
package quota
