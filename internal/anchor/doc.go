// Package anchor tracks the anchor of each model: the shard that must keep at least one replica, so that no unload order
// ever removes a model's last replica.
package anchor
