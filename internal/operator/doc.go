// Package operator implements the HTTP API for operators on an entry VM.
package operator
