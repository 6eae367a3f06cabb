// Package load sends calls to entry VMs at a given rate and measures outcomes and latencies as callers see them.
package load
