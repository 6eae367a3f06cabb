package logbuffer

import (
	"context"
	"io"
	"sync/atomic"
)

// queueLines is the capacity of the buffer in lines, which is about 4 MB when full.
const queueLines = 8192

// Writer is an io.Writer that queues log lines, which Run writes to the output in its own goroutine.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a Writer for an output.
func New(output io.Writer) *Writer {
	return &Writer{
		output: output,
		lines:  make(chan []byte, queueLines),
	}
}

// Write implements io.Writer; it never blocks and never fails, but drops the line if the buffer is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes queued lines to the output until the context ends, and then those that are still queued.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			if _, err := w.output.Write(line); err != nil {
				w.dropped.Add(1)
			}
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			if _, err := w.output.Write(line); err != nil {
				return
			}
		default:
			return
		}
	}
}
