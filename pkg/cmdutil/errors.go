package cmdutil

import (
	"errors"
	"flag"
)

// ExitCode is the status with which the process ends.
type ExitCode int

// The exit codes.
const (
	ExitOK       ExitCode = 0
	ExitError    ExitCode = 1
	ExitUsage    ExitCode = 2
	ExitConflict ExitCode = 3
	ExitUnknown  ExitCode = 4
)

// FlagError reports a command line that can't be understood.
type FlagError struct {
	Reason string
}

// Error implements error.
func (e *FlagError) Error() string { return e.Reason }

// SilentError ends the process with a code after the command has said everything itself.
type SilentError struct {
	Code ExitCode
}

// Error implements error.
func (e *SilentError) Error() string { return "silent" }

// Coded is an error that knows its exit code.
type Coded interface {
	ExitCode() ExitCode
}

// CodeOf maps an error to the exit code of the process.
func CodeOf(err error) ExitCode {
	var silent *SilentError
	var usage *FlagError
	var coded Coded
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
