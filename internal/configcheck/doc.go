// Package configcheck finds errors and contradictions in the operators' configuration before it is sent, and what differs between two
// versions. It has no I/O and never shows an API key or the digest of one.
package configcheck
