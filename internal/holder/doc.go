// Package holder holds shard leases and, while it does, orders the engines of the shard as planned.
package holder
