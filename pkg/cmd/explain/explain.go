package explain

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// Options holds the dependencies and flags of the command.
type Options struct {
	IO          *iostreams.IOStreams
	Client      func() *operatorapi.Client
	ClientFlags cmdutil.ClientFlags
	About       string
	// Request is the ID of the request to trace in the logs in Files.
	Request string
	Files   []string
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO: f.IOStreams,
	}
	opts.Client = func() *operatorapi.Client { return opts.ClientFlags.Client(f) }
	if run == nil {
		run = explainRun
	}
	return &cmdutil.Command{
		Use:   "explain",
		Short: "Explain how calls were routed, why they were refused and why models moved",
		Example: "  $ cowsliparch explain\n  $ cowsliparch explain -about gown-advice\n" +
			"  $ cowsliparch explain -request 9c41d07be2a35f68 entry-1.log entry-2.log\n" +
			"  $ cat *.log | cowsliparch explain -request 9c41d07be2a35f68 -json",
		Args: cmdutil.AnyArgs,
		Flags: func(flags *flag.FlagSet) {
			opts.ClientFlags.Declare(flags)
			flags.StringVar(&opts.About, "about", "", "model, endpoint, caller or request `name` (default: all)")
			flags.StringVar(&opts.Request, "request", "", "`ID` of a request to trace in the given log files, or in standard input")
		},
		Run: func(ctx context.Context, args []string) error {
			opts.Files = args
			return run(ctx, opts)
		},
	}
}

func explainRun(ctx context.Context, opts *Options) error {
	if opts.Request != "" {
		return writeTrace(opts)
	}
	if len(opts.Files) > 0 {
		return &cmdutil.FlagError{Reason: "log files are accepted only with -request"}
	}
	explanation, err := opts.Client().Explain(ctx, opts.About)
	if err != nil {
		return err
	}
	if opts.ClientFlags.JSON {
		return cmdutil.WriteJSON(opts.IO.Out, explanation)
	}
	w := tabwriter.NewWriter(opts.IO.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tREQUEST\tCALLER\tMODEL\tTO\tPREDICTED\tDUE\tREFUSED")
	for _, d := range explanation.Decisions {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", d.At.Format(time.TimeOnly), d.RequestID, d.Caller, d.Model, d.To,
			d.Predicted.Round(time.Millisecond), d.Due.Round(time.Millisecond), d.Refused)
	}
	fmt.Fprintln(w, "\nTIME\tORDER\tMODEL\tENDPOINT\tBY\tWHY\tSETTLED")
	for _, m := range explanation.Moves {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.At.Format(time.TimeOnly), m.Action, m.Model, m.Endpoint, m.Sender, m.Why, m.Settled)
	}
	return w.Flush()
}
