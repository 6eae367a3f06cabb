package check

import (
	"bufio"
	"fmt"

	"github.com/cowsliparch/cowsliparch/internal/configcheck"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

// writeReport writes a report as text, one line for each finding and each difference.
func writeReport(streams *iostreams.IOStreams, path string, report configcheck.Report) error {
	w := bufio.NewWriter(streams.Out)
	colors := streams.ColorScheme()
	for _, finding := range report.Findings {
		severity := colors.Yellow(string(finding.Severity))
		if finding.Severity == configcheck.Error {
			severity = colors.Red(string(finding.Severity))
		}
		fmt.Fprintf(w, "%s %s %s: %s\n", severity, finding.Code, finding.Entry, finding.Message)
	}
	if report.OmittedFindings > 0 {
		fmt.Fprintf(w, "%d more findings are not listed\n", report.OmittedFindings)
	}
	if report.Compared != nil {
		writeComparison(w, colors, *report.Compared)
	}
	fmt.Fprintf(w, "%s: %s, %s\n", path, count(report.Errors, "error"), count(report.Warnings, "warning"))
	return w.Flush()
}

func writeComparison(w *bufio.Writer, colors *iostreams.ColorScheme, compared configcheck.Comparison) {
	switch {
	case compared.Version == 0:
		fmt.Fprintln(w, "No configuration is in force")
	case len(compared.Differences) == 0:
		fmt.Fprintf(w, "Nothing differs from version %d\n", compared.Version)
	default:
		fmt.Fprintf(w, "Differences from version %d:\n", compared.Version)
	}
	for _, difference := range compared.Differences {
		fmt.Fprintf(w, "  %s %s", colors.Bold(string(difference.Change)), difference.Entry)
		if difference.Change == configcheck.Changed {
			fmt.Fprintf(w, ": %s from %s to %s", difference.Field, orNone(difference.Old), orNone(difference.New))
		}
		fmt.Fprintln(w)
	}
	if compared.OmittedDifferences > 0 {
		fmt.Fprintf(w, "  %d more differences are not listed\n", compared.OmittedDifferences)
	}
}

// orNone returns a value as it is shown in a sentence.
func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

// count returns a number with a noun in singular or plural.
func count(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return fmt.Sprintf("%d %s", n, noun)
}
