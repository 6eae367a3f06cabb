// Package logstream publishes and subscribes to log streams as watermill messages, with the offset and time of each record
// in the message metadata.
package logstream
