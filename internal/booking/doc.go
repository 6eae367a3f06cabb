// Package booking makes sure that calls with an idempotency key run at most once: it claims keys by appending records to
// the log and records the outcomes of the calls.
package booking
