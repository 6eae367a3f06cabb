package dispatch

import "bytes"

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// eventSplitter splits a stream of server-sent events into complete ones.
type eventSplitter struct {
	pending []byte
	// lastID is the ID of the last complete event.
	lastID string
}

// feed returns the events that a chunk completes and keeps the incomplete rest.
func (s *eventSplitter) feed(data []byte) ([]byte, error) {
	// Only a separator that ends in data is new.
	start := max(len(s.pending)-maxSeparatorBytes+1, 0)
	s.pending = append(s.pending, data...)
	end := lastEventEnd(s.pending[start:])
	if end == 0 {
		if len(s.pending) > maxEventBytes {
			return nil, &EventTooLargeError{Bytes: len(s.pending)}
		}
		return nil, nil
	}
	end += start
	complete := s.pending[:end:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	if id, ok := lastEventID(complete); ok {
		s.lastID = id
	}
	return complete, nil
}

// maxSeparatorBytes is the length of the longest separator of events.
const maxSeparatorBytes = len("\r\n\r\n")

// lastEventEnd returns where the last complete event ends, or 0 if there is none.
func lastEventEnd(b []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, separator); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}

// lastEventID returns the last ID in a sequence of complete events.
func lastEventID(complete []byte) (string, bool) {
	start := bytes.LastIndex(complete, []byte("\nid:"))
	switch {
	case start >= 0:
		start += len("\nid:")
	case bytes.HasPrefix(complete, []byte("id:")):
		start = len("id:")
	default:
		return "", false
	}
	line, _, _ := bytes.Cut(complete[start:], []byte("\n"))
	return string(bytes.TrimSpace(line)), true
}

// firstEventID returns the first ID in a sequence of complete events.
func firstEventID(complete []byte) (string, bool) {
	for line := range bytes.Lines(complete) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

// hasEvent reports whether a part of a stream has more than comments and blank lines.
func hasEvent(complete []byte) bool {
	for line := range bytes.Lines(complete) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// EventTooLargeError reports a stream event above the size limit.
type EventTooLargeError struct {
	Bytes int
}

// Error implements error.
func (e *EventTooLargeError) Error() string { return "stream event exceeds the size limit" }
