// Package booking claims keyed at-most-once calls in the log and records their outcomes.
package booking
