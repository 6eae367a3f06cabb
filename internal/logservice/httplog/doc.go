// Package httplog is a client for the platform's log service over HTTP with JSON bodies.
package httplog
