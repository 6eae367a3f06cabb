package seeded

import (
	"flag"
	"fmt"
	"testing"
)

// FlagError reports a flag that could not be set.
type FlagError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *FlagError) Error() string { return fmt.Sprintf("flag %s: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *FlagError) Unwrap() error { return e.Cause }

// Main runs the tests of a package with the given defaults for flags, such as those of its test libraries, and returns the
// exit code; flags on the command line override the defaults.
func Main(m *testing.M, defaults map[string]string) int {
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(&FlagError{Name: name, Cause: err})
		}
	}
	flag.Parse()
	return m.Run()
}
