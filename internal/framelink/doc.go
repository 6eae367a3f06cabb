// Package framelink carries frames, encoded as CBOR, over a WebSocket between two processes of the system.
package framelink
