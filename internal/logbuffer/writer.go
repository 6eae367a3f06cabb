package logbuffer

import (
	"context"
	"io"
	"sync/atomic"
)

const (
	// queueLines is the capacity of the buffer in lines, queueBytes that in bytes.
	queueLines = 8192
	queueBytes = 4 << 20
)

// Writer is an io.Writer that queues log lines, which Run writes to the output in its own goroutine.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	queued  atomic.Int64
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
	if w.queued.Add(int64(len(line))) > queueBytes {
		w.drop(line)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop(line)
	}
	return len(line), nil
}

func (w *Writer) drop(line []byte) {
	w.queued.Add(-int64(len(line)))
	w.dropped.Add(1)
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes queued lines to the output until the context ends, and then those that are still queued.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
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
			w.queued.Add(-int64(len(line)))
			if _, err := w.output.Write(line); err != nil {
				return
			}
		default:
			return
		}
	}
}
