// Package peer links the entry VMs to each other over WebSocket with CBOR frames.
package peer
