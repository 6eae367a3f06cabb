// Package peer connects the entry VMs with each other by WebSocket links that carry CBOR frames.
package peer
