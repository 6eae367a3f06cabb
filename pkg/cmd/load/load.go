package load

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/load"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// Options holds the dependencies and flags of the command.
type Options struct {
	IO          *iostreams.IOStreams
	Client      func() *operatorapi.Client
	Clock       func() clockwork.Clock
	ClientFlags cmdutil.ClientFlags
	Callers     string
	Load        load.Options
}

const (
	maxDuration = 10 * time.Minute
	maxRate     = 20000
)

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO:    f.IOStreams,
		Clock: f.Clock,
	}
	opts.Client = func() *operatorapi.Client { return opts.ClientFlags.Client(f) }
	if run == nil {
		run = loadRun
	}
	return &cmdutil.Command{
		Use:     "load",
		Short:   "Send a bounded load to entry VMs and measure the answers",
		Example: "  $ cowsliparch load -callers 127.0.0.1:8080 -for 10s -rate 100 -wake-up 5",
		Flags: func(flags *flag.FlagSet) {
			opts.ClientFlags.Declare(flags)
			flags.StringVar(&opts.Callers, "callers", "127.0.0.1:8080", "comma-separated caller `addresses` of the entry VMs")
			DeclareFlags(flags, &opts.Load)
		},
		Run: func(ctx context.Context, _ []string) error {
			if err := ValidateOptions(opts.Load); err != nil {
				return err
			}
			return run(ctx, opts)
		},
	}
}

// DeclareFlags defines the flags of a load.
func DeclareFlags(flags *flag.FlagSet, o *load.Options) {
	flags.DurationVar(&o.Duration, "for", 10*time.Second, "`duration` of the load, at most 10m")
	flags.Float64Var(&o.Rate, "rate", 100, "`calls` per second")
	flags.Float64Var(&o.StartFactor, "wake-up", 3, "how many `times` the rate is sent in the first second")
	flags.Uint64Var(&o.Seed, "seed", 1, "random `seed` of the calls")
	flags.IntVar(&o.Tokens, "tokens", 32, "number of `tokens` in each answer")
	flags.Float64Var(&o.ServiceShare, "service-share", 0.2, "`fraction` of the calls that go to plain services")
}

// ValidateOptions returns a FlagError if an option of the load is out of bounds.
func ValidateOptions(o load.Options) error {
	switch {
	case o.Duration <= 0 || o.Duration > maxDuration:
		return &cmdutil.FlagError{Reason: fmt.Sprintf("-for must be above 0 and at most %s", maxDuration)}
	case o.Rate <= 0 || o.Rate*max(o.StartFactor, 1) > maxRate:
		return &cmdutil.FlagError{Reason: fmt.Sprintf("-rate must be above 0, and at most %d calls per second when multiplied by -wake-up", maxRate)}
	case o.Tokens < 1:
		return &cmdutil.FlagError{Reason: "-tokens must be at least 1"}
	case o.ServiceShare < 0 || o.ServiceShare > 1:
		return &cmdutil.FlagError{Reason: "-service-share must be between 0 and 1"}
	default:
		return nil
	}
}

func loadRun(ctx context.Context, opts *Options) error {
	inForce, err := opts.Client().InForce(ctx)
	if err != nil {
		return err
	}
	opts.Load.Configuration, err = configuration.Decode(inForce.Document)
	if err != nil {
		return err
	}
	opts.Load.Addresses = strings.Split(opts.Callers, ",")
	opts.Load.Progress = Progress(opts.IO)
	result := load.Run(ctx, opts.Load, opts.Clock())
	ClearProgress(opts.IO)
	if opts.ClientFlags.JSON {
		return cmdutil.WriteJSON(opts.IO.Out, result.Summary())
	}
	return WriteTable(opts.IO, result.Summary())
}

// Progress returns a function that shows progress on standard error, or nil if that is not a terminal.
func Progress(streams *iostreams.IOStreams) func(int) {
	if !streams.IsProgressEnabled() {
		return nil
	}
	return func(completed int) {
		fmt.Fprintf(streams.ErrOut, "\r%d calls completed", completed)
	}
}

// ClearProgress erases the progress line.
func ClearProgress(streams *iostreams.IOStreams) {
	if streams.IsProgressEnabled() {
		fmt.Fprint(streams.ErrOut, "\r\x1b[K")
	}
}

// WriteTable writes the results as a table with one row per kind of call.
func WriteTable(streams *iostreams.IOStreams, summaries []load.KindSummary) error {
	w := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tCALLS\tATTAINED\tFIRST P50\tP95\tP99\tBETWEEN P50\tP95\tP99\tOUTCOMES")
	for _, kindSummary := range summaries {
		fmt.Fprintf(w, "%s\t%d\t%.1f%%\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t%s\n", kindSummary.Kind, kindSummary.Calls,
			100*float64(kindSummary.Attained)/float64(kindSummary.Calls), kindSummary.FirstP50, kindSummary.FirstP95, kindSummary.FirstP99,
			kindSummary.BetweenP50, kindSummary.BetweenP95, kindSummary.BetweenP99, formatOutcomes(kindSummary.Outcomes))
	}
	return w.Flush()
}
