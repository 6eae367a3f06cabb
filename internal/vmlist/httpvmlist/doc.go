// Package httpvmlist is a client for the platform's VM list over HTTP with JSON bodies.
package httpvmlist
