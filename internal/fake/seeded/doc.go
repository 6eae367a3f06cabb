// Package seeded runs tests and faults from fixed seeds, so that every run gives the same verdict.
package seeded
