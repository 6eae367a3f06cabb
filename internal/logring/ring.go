package logring

import (
	"context"
	"io"
	"sync/atomic"
)

// ringLines is how many lines wait for the output; about 4 MB when full.
const ringLines = 8192

// Ring is an io.Writer that hands each line to a thread of its own.
type Ring struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a ring in front of an output.
func New(out io.Writer) *Ring {
	return &Ring{
		out:   out,
		lines: make(chan []byte, ringLines),
	}
}

// Write implements io.Writer; it never blocks and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// Run writes lines until the context ends and those already taken are out.
func (r *Ring) Run(ctx context.Context) error {
	for {
		select {
		case line := <-r.lines:
			if _, err := r.out.Write(line); err != nil {
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
			if _, err := r.out.Write(line); err != nil {
				return
			}
		default:
			return
		}
	}
}
