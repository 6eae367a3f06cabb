package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// maxLineBytes limits the length of a log line; the longest lines list the models of a runner.
const maxLineBytes = 1 << 20

// Line is a line of a log.
type Line struct {
	Time  time.Time
	VM    string
	Event string
	// Fields holds the remaining attributes of the line.
	Fields map[string]any
}

// Read returns the lines of a log and the number of malformed lines, skipping any text before the first brace of a line; it
// fails if the reader does or a line is too long.
func Read(r io.Reader) (lines []Line, malformed int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		raw := scanner.Bytes()
		if len(bytes.TrimSpace(raw)) == 0 {
			continue
		}
		line, ok := parseLine(raw)
		if !ok {
			malformed++
			continue
		}
		lines = append(lines, line)
	}
	return lines, malformed, scanner.Err()
}

// parseLine decodes one line and reports whether it is a JSON object with a valid time.
func parseLine(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal(raw[start:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	timestamp, err := time.Parse(time.RFC3339Nano, line.stringField("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time, line.VM, line.Event = timestamp, line.stringField("VM"), line.stringField("msg")
	for _, name := range []string{"time", "level", "VM", "msg", "Event"} {
		delete(fields, name)
	}
	return line, true
}

func (l Line) stringField(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

func (l Line) numberField(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}
