package measure

import (
	"context"
	"flag"
	"fmt"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/capacity"
	"github.com/cowsliparch/cowsliparch/internal/page"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

// Options holds the dependencies and flags of the command.
type Options struct {
	IO    *iostreams.IOStreams
	Clock func() clockwork.Clock
	Page  string
	JSON  bool
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO:    f.IOStreams,
		Clock: f.Clock,
	}
	if run == nil {
		run = measureRun
	}
	return &cmdutil.Command{
		Use:   "measure",
		Short: "Measure how resource use grows on this machine and estimate each role's use at the target size",
		Long: "Measure how resource use grows on this machine and estimate each role's use at the target size.\n\n" +
			"The measurement takes about three minutes and uses only the loopback interface. Run it on an otherwise idle machine.",
		Example: "  $ cowsliparch capacity measure\n  $ cowsliparch capacity measure -write docs/CAPACITY.md",
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&opts.Page, "write", "", "replace the generated part of this `page`")
			flags.BoolVar(&opts.JSON, "json", false, "write JSON")
		},
		Run: func(ctx context.Context, _ []string) error {
			return run(ctx, opts)
		},
	}
}

func measureRun(_ context.Context, opts *Options) error {
	results, err := capacity.Measure(opts.Clock(), func(quantity string) {
		fmt.Fprintf(opts.IO.ErrOut, "Measuring %s\n", quantity)
	})
	if err != nil {
		return err
	}
	if opts.Page != "" {
		return page.Replace(opts.Page, "cowsliparch capacity measure -write docs/CAPACITY.md", results.Markdown())
	}
	if opts.JSON {
		return cmdutil.WriteJSON(opts.IO.Out, results)
	}
	_, err = fmt.Fprint(opts.IO.Out, results.Markdown())
	return err
}
