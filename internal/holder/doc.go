// Package holder acquires shard leases and, while it holds one, sends load and unload orders to the engines of the shard
// according to the plan.
package holder
