// Package lease decides, from the order of a log stream alone, who holds each shard.
package lease
