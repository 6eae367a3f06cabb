package cmdutil

import (
	"errors"
	"flag"
)

// ExitCode is the exit status of the process.
type ExitCode int

// Exit codes; ExitConflict and ExitUnknown report a change with the outcome Conflict or UnknownYet.
const (
	ExitOK       ExitCode = 0
	ExitError    ExitCode = 1
	ExitUsage    ExitCode = 2
	ExitConflict ExitCode = 3
	ExitUnknown  ExitCode = 4
)

// FlagError reports an invalid command line.
type FlagError struct {
	Reason string
}

// Error implements error.
func (e *FlagError) Error() string { return e.Reason }

// SilentError sets the exit code without a message, because the command has already reported the failure.
type SilentError struct {
	Code ExitCode
}

// Error implements error.
func (e *SilentError) Error() string { return "silent" }

// ExitCoder is an error that defines its exit code.
type ExitCoder interface {
	ExitCode() ExitCode
}

// ExitCodeOf returns the exit code of the process for an error.
func ExitCodeOf(err error) ExitCode {
	var silent *SilentError
	var usage *FlagError
	var coded ExitCoder
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &silent):
		return silent.Code
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &coded):
		return coded.ExitCode()
	default:
		return ExitError
	}
}
