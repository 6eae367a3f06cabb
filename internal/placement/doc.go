// Package placement decides which models the runners of a shard load and unload.
package placement
