// Package load sends a bounded load to entry VMs and measures outcomes and latencies as callers see them.
package load
