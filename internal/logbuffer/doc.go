// Package logbuffer buffers log lines so that logging never blocks: when the buffer is full, lines are dropped and counted.
package logbuffer
