package burn

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// Options holds the dependencies and flags of the command.
type Options struct {
	IO          *iostreams.IOStreams
	Client      func() *operatorapi.Client
	ClientFlags cmdutil.ClientFlags
	Plot        string
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO: f.IOStreams,
	}
	opts.Client = func() *operatorapi.Client { return opts.ClientFlags.Client(f) }
	if run == nil {
		run = burnRun
	}
	return &cmdutil.Command{
		Use:   "burn",
		Short: "Report how fast the error budgets of a failure domain are spent",
		Long: "Report how fast the error budgets of the entry VM's failure domain are spent.\n\n" +
			"A burn rate of 1 spends the budget exactly. FAST means that the 5-minute and 1-hour rates are both above 14.4,\n" +
			"SLOW that the 30-minute and 6-hour rates are both above 6.",
		Example: "  $ cowsliparch report burn\n  $ cowsliparch report burn -entry 10.0.0.1:8081 -plot burn.png",
		Flags: func(flags *flag.FlagSet) {
			opts.ClientFlags.Declare(flags)
			flags.StringVar(&opts.Plot, "plot", "", "also write a plot to this `file`; the extension .png or .svg sets the format")
		},
		Run: func(ctx context.Context, _ []string) error {
			return run(ctx, opts)
		},
	}
}

func burnRun(ctx context.Context, opts *Options) error {
	report, err := opts.Client().Burn(ctx)
	if err != nil {
		return err
	}
	if opts.Plot != "" {
		if err := plotBurn(report, opts.Plot); err != nil {
			return err
		}
	}
	if opts.ClientFlags.JSON {
		return cmdutil.WriteJSON(opts.IO.Out, report)
	}
	return writeTable(opts.IO, report)
}

func writeTable(streams *iostreams.IOStreams, report operatorapi.Burn) error {
	colors := streams.ColorScheme()
	w := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "SERVICE\tCLASS\tOBJECTIVE\t%s\tCALLS\tBUDGET LEFT\tALERT\n", strings.ToUpper(strings.Join(report.Windows, "\t")))
	for _, line := range report.Lines {
		fmt.Fprintf(w, "%s\t%s\t%.1f%%", line.Service, line.Class, 100*line.Share)
		for _, rate := range line.Burn {
			fmt.Fprintf(w, "\t%.2f", rate)
		}
		fmt.Fprintf(w, "\t%d\t%.0f%%\t%s\n", line.Calls, 100*line.BudgetLeft, colors.Red(alert(line)))
	}
	writeCounts(w, "MODEL", report.Models)
	writeCounts(w, "CALLER", report.Callers)
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(streams.ErrOut, "Counted calls on %d VMs\n", len(report.ReachedVMs))
	for _, vm := range report.Unreached {
		fmt.Fprintf(streams.ErrOut, "%s %s could not be reached; its calls are not counted\n", colors.Yellow("!"), vm)
	}
	return nil
}

func writeCounts(w *tabwriter.Writer, title string, counts []operatorapi.NamedCount) {
	if len(counts) == 0 {
		return
	}
	fmt.Fprintf(w, "\nWORST %s\tMISSED\tCALLS\n", title)
	for _, n := range counts {
		fmt.Fprintf(w, "%s\t%d\t%d\n", n.Name, n.Bad, n.Total)
	}
}

func alert(line operatorapi.BurnLine) string {
	switch {
	case line.FastAlert:
		return "FAST"
	case line.SlowAlert:
		return "SLOW"
	default:
		return ""
	}
}
