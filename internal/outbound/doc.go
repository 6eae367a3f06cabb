// Package outbound sends requests to endpoints over kept connections, each request exactly once: nothing in it repeats a
// send, and it tells apart what was never written from what may have run.
package outbound
