package logring

import (
	"context"
	"io"
	"sync/atomic"
)

// queueLines is the capacity of the buffer in lines, which is about 4 MB when full.
const queueLines = 8192

// Ring is an io.Writer that queues log lines, which Run writes to the output in its own goroutine.
type Ring struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a ring that writes to an output.
func New(output io.Writer) *Ring {
	return &Ring{
		output: output,
		lines:  make(chan []byte, queueLines),
	}
}

// Write implements io.Writer; it never blocks and never fails, but drops the line if the buffer is full.
func (r *Ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// Run writes queued lines to the output until the context ends, and then those that are still queued.
func (r *Ring) Run(ctx context.Context) error {
	for {
		select {
		case line := <-r.lines:
			if _, err := r.output.Write(line); err != nil {
				r.dropped.Add(1)
			}
		case <-ctx.Done():
			r.flush()
			return nil
		}
	}
}

func (r *Ring) flush() {
	for {
		select {
		case line := <-r.lines:
			if _, err := r.output.Write(line); err != nil {
				return
			}
		default:
			return
		}
	}
}
