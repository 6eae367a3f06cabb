// Package httpendpoint is a client for model engines and plain services over HTTP with JSON and server-sent events.
package httpendpoint
