// Package claim builds, from log records, the state of calls that run at most once per idempotency key: which attempt won
// each key, and its outcome.
package claim
