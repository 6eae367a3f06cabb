// Package gate counts the calls in flight, so that a graceful stop can wait for the last one.
package gate
