// Package logstream carries log streams as watermill messages, with offset and time in their metadata.
package logstream
