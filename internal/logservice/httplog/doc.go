// Package httplog reaches the platform's log service over HTTP with JSON bodies.
package httplog
