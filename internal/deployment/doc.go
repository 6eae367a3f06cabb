// Package deployment defines the two deployments that the demo can run: their configuration and the size of their simulated
// engines.
package deployment
