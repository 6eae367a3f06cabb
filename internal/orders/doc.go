// Package orders drives the runners of model services while this VM holds the lease: it sums up demand, asks the planner for
// steps and carries them out by orders, each with the fencing number and the count of orders that it expects.
package orders
