// Package logservice defines the interface to the platform's append-only log service.
package logservice
