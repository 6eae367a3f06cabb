// Package dispatch serves one request after the other: it chooses a runner, sends the request, relays the answer and, where
// the route allows it, tries again or goes on at another runner.
package dispatch
