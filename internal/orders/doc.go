// Package orders loads and unloads models and adapters on the runners of model services while this VM holds the order lease.
// It sums up demand, asks package layout for steps and carries them out by sending orders, each with a fencing token and the
// number of orders that the runner is expected to have accepted before.
package orders
