package explain

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/story"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
)

// UnknownRequestError reports that no line of the logs is about a request.
type UnknownRequestError struct {
	Request string
}

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return "no line of the logs is about request " + e.Request
}

// requestRun tells the story of one request from logs.
func requestRun(opts *Options) error {
	lines, err := opts.readLogs()
	if err != nil {
		return err
	}
	told := story.Tell(lines, opts.Request)
	if len(told) == 0 {
		return &UnknownRequestError{Request: opts.Request}
	}
	if opts.Target.JSON {
		return cmdutil.WriteJSON(opts.IO.Out, told)
	}
	for _, line := range told {
		fmt.Fprintf(opts.IO.Out, "%s %s %s%s\n", line.Time.Format(time.RFC3339Nano), line.VM, line.Event, fields(line))
	}
	return nil
}

// readLogs reads the files named, or standard input if none is.
func (opts *Options) readLogs() ([]story.Line, error) {
	if len(opts.Files) == 0 {
		return opts.readLog("standard input", opts.IO.In)
	}
	var all []story.Line
	for _, path := range opts.Files {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, err := opts.readLog(path, file)
		if err := errors.Join(err, file.Close()); err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func (opts *Options) readLog(name string, r io.Reader) ([]story.Line, error) {
	lines, unreadable, err := story.Read(r)
	if unreadable > 0 {
		fmt.Fprintf(opts.IO.ErrOut, "%s: %d lines are no log lines and were skipped\n", name, unreadable)
	}
	return lines, err
}

// fields returns what a line tells as names and values in order of name.
func fields(line story.Line) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, line.Fields[name])
	}
	return b.String()
}
