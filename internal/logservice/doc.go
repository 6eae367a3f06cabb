// Package logservice defines what the system needs of the platform's append-only log service.
package logservice
