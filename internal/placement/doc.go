// Package placement plans which models a shard's runners should have loaded.
package placement
