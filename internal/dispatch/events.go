package dispatch

import "bytes"

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// framer cuts a stream of events into whole ones.
type framer struct {
	pending []byte
	// last is the ID of the last whole event.
	last string
}

// take returns the whole events that a piece completes; what begins another one is kept.
func (f *framer) take(piece []byte) ([]byte, error) {
	f.pending = append(f.pending, piece...)
	end := lastEnd(f.pending)
	if end == 0 {
		if len(f.pending) > maxEventBytes {
			return nil, &EventTooLargeError{Bytes: len(f.pending)}
		}
		return nil, nil
	}
	whole := f.pending[:end:end]
	f.pending = append([]byte(nil), f.pending[end:]...)
	if id, ok := lastID(whole); ok {
		f.last = id
	}
	return whole, nil
}

// lastEnd returns where the last whole event ends.
func lastEnd(b []byte) int {
	end := 0
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// lastID returns the ID that stands last in whole events.
func lastID(whole []byte) (string, bool) {
	at := bytes.LastIndex(whole, []byte("\nid:"))
	switch {
	case at >= 0:
		at += len("\nid:")
	case bytes.HasPrefix(whole, []byte("id:")):
		at = len("id:")
	default:
		return "", false
	}
	line, _, _ := bytes.Cut(whole[at:], []byte("\n"))
	return string(bytes.TrimSpace(line)), true
}

// EventTooLargeError reports an event beyond the bound.
type EventTooLargeError struct {
	Bytes int
}

// Error implements error.
func (e *EventTooLargeError) Error() string { return "event of a stream is too large" }
