// Package seeded runs tests and injects faults with fixed seeds, so that results are reproducible.
package seeded
