// Package dispatch serves callers' requests: it chooses a runner, which is an endpoint that has registered, sends the
// request, relays the response and, where the route allows it, retries or resumes at another runner.
package dispatch
