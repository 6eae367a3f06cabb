// Package load sends a bounded load to entry VMs and measures what callers get.
package load
