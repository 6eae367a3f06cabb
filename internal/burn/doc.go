// Package burn counts answers against the service-level objectives and works out burn rates.
package burn
