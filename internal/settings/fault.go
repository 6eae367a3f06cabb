package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	Section string
	Key     string
	Value   string
	// Allowed describes the allowed values.
	Allowed string
}

// String formats the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s = %q: expected %s", f.Section, f.Key, f.Value, f.Allowed)
}

// InvalidError lists every fault of a settings file.
type InvalidError struct {
	Path   string
	Faults []Fault
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("settings file %s has %d errors", e.Path, len(e.Faults)))
	for _, fault := range e.Faults {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// ReadError reports a settings file that can't be read or parsed as INI.
type ReadError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("cannot read settings file %s: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }
