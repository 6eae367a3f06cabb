// Package httpvmlist reads the platform's VM list over HTTP with JSON bodies.
package httpvmlist
