// Package lease decides which VM holds each shard, from the order of the records in a log stream alone.
package lease
