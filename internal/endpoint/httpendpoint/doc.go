// Package httpendpoint reaches model engines and plain services over HTTP with JSON and server-sent events.
package httpendpoint
