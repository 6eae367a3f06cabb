// Package anchor folds which shard must keep a replica of each model, so that no model ever loses its last one to an order.
package anchor
