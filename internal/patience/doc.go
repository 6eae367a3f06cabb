// Package patience decides whether a request is worth sending to its best runner, and when a refused caller should come back.
//
// Load pattern: demand moves to a model faster than further replicas can be loaded, so more requests arrive than its runners can
// process. If every request joins a queue, the queues grow until callers leave before their first token, and those who stay get
// it late. With queues no longer than the objective, the runners answer as many requests, but in time. Those refused together
// must not come back together, nor before there is a free slot.
package patience
