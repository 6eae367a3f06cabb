// Package refusal defines the typed errors that callers get, and whether the call behind each one ran.
package refusal
