// Package framelink sends frames encoded as CBOR over a WebSocket between two processes of the system.
package framelink
