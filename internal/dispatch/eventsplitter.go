package dispatch

import (
	"bytes"
	"strings"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// lineEnds are the bytes that end a line, each by itself or as CR LF.
	lineEnds = "\r\n"
	// byteOrderMark may come before the first line of a stream.
	byteOrderMark = "\ufeff"
)

// eventSplitter splits a stream of server-sent events into complete ones, which end with an empty line.
type eventSplitter struct {
	pending []byte
	// scanned is how much of pending has been searched for the ends of lines, and lineStart is where its last line begins.
	scanned   int
	lineStart int
	// end is where the last complete event ends, with the empty lines after it; previousEnd is the same for the event before.
	end         int
	previousEnd int
	// afterEmpty is set if the line before is empty, and afterCR if it ended with CR alone.
	afterEmpty bool
	afterCR    bool
	// skipLF is set if the last event was returned at a CR, to which an LF may belong.
	skipLF bool
	// markSought is set once it is known whether the stream begins with a byte order mark; markBytes is what the mark takes in pending.
	markSought bool
	markBytes  int
	// begun is set once a complete part had more than comments and empty lines.
	begun bool
	// firstID and lastID are the first and the last ID of the complete events that are not empty.
	firstID string
	lastID  string
	// unnumbered is set if the last complete event with data has no ID, or an empty one.
	unnumbered bool
}

// feed returns the events that a chunk completes and keeps the incomplete rest.
func (s *eventSplitter) feed(data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	complete := s.take(s.scan())
	if len(complete) == 0 && len(s.pending) > maxEventBytes {
		return nil, &EventTooLargeError{Bytes: len(s.pending)}
	}
	return complete, nil
}

// finish returns the events that the end of the stream completes: no LF follows its last CR.
func (s *eventSplitter) finish() []byte {
	if s.scanned < len(s.pending) {
		s.endLine(s.scanned, s.scanned+1)
	}
	return s.take(s.end)
}

// scan searches what is new for the ends of lines and returns where the events end that are complete.
func (s *eventSplitter) scan() int {
	if !s.markSought {
		s.seekMark()
	}
	if s.skipLF && len(s.pending) > 0 {
		s.skipLF = false
		if s.pending[0] == '\n' {
			s.endLine(0, 1)
		}
	}
	for {
		i := bytes.IndexAny(s.pending[s.scanned:], lineEnds)
		if i < 0 {
			s.scanned = len(s.pending)
			return s.end
		}
		i += s.scanned
		next := i + 1
		if s.pending[i] == '\r' {
			switch {
			case next < len(s.pending):
				if s.pending[next] == '\n' {
					next++
				}
			case s.afterCR && i == s.lineStart:
				// Where lines end with CR alone, waiting for an LF would delay the event until the next one.
				s.skipLF = true
			default:
				s.scanned = i
				return s.endBeforeCR()
			}
		}
		s.endLine(i, next)
	}
}

// seekMark leaves a byte order mark out of the first line.
func (s *eventSplitter) seekMark() {
	switch {
	case bytes.HasPrefix(s.pending, []byte(byteOrderMark)):
		s.markSought, s.markBytes = true, len(byteOrderMark)
		s.scanned, s.lineStart = s.markBytes, s.markBytes
	case !strings.HasPrefix(byteOrderMark, string(s.pending[:min(len(s.pending), len(byteOrderMark))])):
		s.markSought = true
	}
}

// endBeforeCR returns where the complete events end if the last byte is a CR to which an LF may belong. An event is returned with the
// empty lines after it.
func (s *eventSplitter) endBeforeCR() int {
	if s.afterEmpty && s.scanned == s.lineStart {
		return s.previousEnd
	}
	return s.end
}

// endLine notes a line that ends at a position, and where the next one begins.
func (s *eventSplitter) endLine(end, next int) {
	empty := end == s.lineStart
	if empty {
		if !s.afterEmpty {
			s.previousEnd = s.end
		}
		s.end = next
	}
	s.afterEmpty = empty
	s.afterCR = next == end+1 && s.pending[end] == '\r'
	s.scanned, s.lineStart = next, next
}

// take removes and returns the complete events up to a position.
func (s *eventSplitter) take(end int) []byte {
	if end == 0 {
		return nil
	}
	complete := s.pending[:end:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	s.scanned -= end
	s.lineStart -= end
	s.end -= end
	s.previousEnd = 0
	s.read(complete[s.markBytes:])
	s.markBytes = 0
	return complete
}

// read notes what complete events say of where the stream is.
func (s *eventSplitter) read(complete []byte) {
	var id, lastID []byte
	hasData := false
	for len(complete) > 0 {
		var line []byte
		line, complete = cutLine(complete)
		if len(line) == 0 {
			if hasData {
				s.unnumbered = len(id) == 0
			}
			id, hasData = nil, false
			continue
		}
		if text := bytes.TrimSpace(line); len(text) == 0 || text[0] == ':' {
			continue
		}
		s.begun = true
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			id = bytes.TrimSpace(value)
			if len(id) > 0 {
				lastID = id
			}
			if s.firstID == "" {
				s.firstID = string(id)
			}
		case "event", "retry":
		default:
			// What is no field of an event may be data of another format.
			hasData = true
		}
	}
	if len(lastID) > 0 {
		s.lastID = string(lastID)
	}
}

// cutLine returns the first line, without its end, and what follows it.
func cutLine(b []byte) (line, rest []byte) {
	i := bytes.IndexAny(b, lineEnds)
	if i < 0 {
		return b, nil
	}
	line, rest = b[:i], b[i+1:]
	if b[i] == '\r' {
		rest = bytes.TrimPrefix(rest, []byte("\n"))
	}
	return line, rest
}

// EventTooLargeError reports a stream event above the size limit.
type EventTooLargeError struct {
	Bytes int
}

// Error implements error.
func (e *EventTooLargeError) Error() string { return "stream event exceeds the size limit" }
