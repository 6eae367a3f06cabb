package cmdutil

import (
	"fmt"

	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// ReportOutcome prints the outcome of a change and returns the error that sets the exit code.
func ReportOutcome(streams *iostreams.IOStreams, asJSON bool, outcome operatorapi.Outcome) error {
	if asJSON {
		if err := WriteJSON(streams.Out, outcome); err != nil {
			return err
		}
	} else {
		writeOutcome(streams, outcome)
	}
	switch outcome.Answer {
	case operatorapi.Accepted:
		return nil
	case operatorapi.Conflict:
		return &SilentError{Code: ExitConflict}
	case operatorapi.UnknownYet:
		return &SilentError{Code: ExitUnknown}
	default:
		return &SilentError{Code: ExitError}
	}
}

func writeOutcome(streams *iostreams.IOStreams, outcome operatorapi.Outcome) {
	colors := streams.ColorScheme()
	switch outcome.Answer {
	case operatorapi.Accepted:
		fmt.Fprintf(streams.Out, "%s version %d\n", colors.Green("Accepted"), outcome.Version)
	case operatorapi.Conflict:
		fmt.Fprintf(streams.Out, "%s version %d is in force, set by change %s\n", colors.Red("Conflict"), outcome.Version, outcome.Winner)
	case operatorapi.UnknownYet:
		fmt.Fprintf(streams.Out, "%s %s\n", colors.Yellow("UnknownYet"), outcome.Reason)
		fmt.Fprintf(streams.ErrOut, "Query the outcome again with -id %s\n", outcome.ID)
	default:
		fmt.Fprintf(streams.Out, "%s %s\n", colors.Red(string(outcome.Answer)), outcome.Reason)
		for _, fault := range outcome.Faults {
			fmt.Fprintf(streams.Out, "  %s: %s\n", fault.Path, fault.Reason)
		}
	}
}
