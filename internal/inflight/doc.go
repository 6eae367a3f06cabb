// Package inflight limits and counts the calls in flight, so that a graceful shutdown can wait until they have ended.
package inflight
