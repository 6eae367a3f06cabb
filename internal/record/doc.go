// Package record encodes and decodes the records that the system writes to log streams.
package record
