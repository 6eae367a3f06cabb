package cmdutil

import (
	"errors"
	"fmt"

	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

// ReportInvalid prints the faults of an invalid settings file and returns a SilentError; it returns any other error
// unchanged.
func ReportInvalid(streams *iostreams.IOStreams, err error) error {
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	fmt.Fprintln(streams.ErrOut, invalid.Error())
	return &SilentError{Code: ExitUsage}
}
