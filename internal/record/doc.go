// Package record encodes the records that the system writes to log streams.
package record
