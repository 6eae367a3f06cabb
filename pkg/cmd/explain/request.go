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

	"github.com/cowsliparch/cowsliparch/internal/requestlog"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
)

// UnknownRequestError reports that no log line is about a request.
type UnknownRequestError struct {
	Request string
}

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return "no log line is about request " + e.Request
}

// writeTrace writes the log lines that explain one request.
func writeTrace(opts *Options) error {
	lines, err := opts.readLogs()
	if err != nil {
		return err
	}
	trace := requestlog.Related(lines, opts.Request)
	if len(trace) == 0 {
		return &UnknownRequestError{Request: opts.Request}
	}
	if opts.ClientFlags.JSON {
		return cmdutil.WriteJSON(opts.IO.Out, trace)
	}
	for _, line := range trace {
		fmt.Fprintf(opts.IO.Out, "%s %s %s%s\n", line.Time.Format(time.RFC3339Nano), line.VM, line.Event, formatFields(line))
	}
	return nil
}

// readLogs reads the log files, or standard input if there are none.
func (o *Options) readLogs() ([]requestlog.Line, error) {
	if len(o.Files) == 0 {
		return o.readLog("standard input", o.IO.In)
	}
	var all []requestlog.Line
	for _, path := range o.Files {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, err := o.readLog(path, file)
		if err := errors.Join(err, file.Close()); err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func (o *Options) readLog(name string, r io.Reader) ([]requestlog.Line, error) {
	lines, skipped, err := requestlog.Read(r)
	if skipped > 0 {
		fmt.Fprintf(o.IO.ErrOut, "%s: skipped %d lines that are not log lines\n", name, skipped)
	}
	return lines, err
}

// formatFields formats the fields of a line as name=value pairs, sorted by name.
func formatFields(line requestlog.Line) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, line.Fields[name])
	}
	return b.String()
}
