package cmdutil

import (
	"errors"
	"fmt"

	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

// SayInvalid lists the faults of a settings file and returns the error that ends the command; any other error stays as it is.
func SayInvalid(streams *iostreams.IOStreams, err error) error {
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	fmt.Fprintln(streams.ErrOut, invalid.Error())
	return &SilentError{Code: ExitUsage}
}
