// Package burn counts calls that met or missed their service-level objectives and computes error-budget burn rates.
package burn
