package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// maxLineBytes bounds one line of a log; the longest ones list the models of a runner.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time  time.Time
	VM    string
	Event string
	// Fields is what else the line tells.
	Fields map[string]any
}

// Read returns the lines of a log and how many could not be read; whatever stands before the first brace of a line is skipped.
// It fails when the reader does.
func Read(r io.Reader) (lines []Line, unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		line, ok := parse(text)
		if !ok {
			unreadable++
			continue
		}
		lines = append(lines, line)
	}
	return lines, unreadable, scanner.Err()
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time, line.VM, line.Event = at, line.text("VM"), line.text("msg")
	for _, name := range []string{"time", "level", "VM", "msg", "Event"} {
		delete(fields, name)
	}
	return line, true
}

func (l Line) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

func (l Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}
