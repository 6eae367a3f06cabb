// Package loadbalance chooses among runners by load figures that are old.
//
// Load pattern: hundreds of VMs see the same figures, some tenths of a second old, and a popular model gets more requests in
// that time than its least busy runner has free slots. If each VM chose that runner, it would be overrun while others are idle.
// The package therefore estimates how many requests all VMs have sent since the figures, and spreads them as if the VMs had
// sent them one after the other, each to the runner that was best then.
package loadbalance
