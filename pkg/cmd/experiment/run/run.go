package run

import (
	"context"
	"flag"
	"fmt"

	"github.com/cowsliparch/cowsliparch/internal/experiment"
	"github.com/cowsliparch/cowsliparch/internal/page"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

// Options holds the dependencies and flags of the command.
type Options struct {
	IO         *iostreams.IOStreams
	Deployment string
	Page       string
	JSON       bool
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO: f.IOStreams,
	}
	if run == nil {
		run = experimentRun
	}
	return &cmdutil.Command{
		Use:   "run",
		Short: "Simulate every scenario and compare the entry VMs' routing policy with others",
		Long: "Simulate every scenario at every load and compare the entry VMs' policy with random choice, least reported load, and an\n" +
			"oracle that knows every queue. Time is virtual and the seed is fixed, so that results are reproducible.",
		Example: "  $ cowsliparch experiment run\n  $ cowsliparch experiment run -deployment huallaga -json",
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&opts.Deployment, "deployment", "", "`name` of the deployment, peplos or huallaga (default: both)")
			flags.StringVar(&opts.Page, "write", "", "replace the generated part of this `page`")
			flags.BoolVar(&opts.JSON, "json", false, "write JSON")
		},
		Run: func(ctx context.Context, _ []string) error {
			return run(ctx, opts)
		},
	}
}

func experimentRun(_ context.Context, opts *Options) error {
	deployments := []string{"peplos", "huallaga"}
	if opts.Deployment != "" {
		deployments = []string{opts.Deployment}
	}
	tables := ""
	results := make(map[string][]experiment.Comparison)
	for _, deployment := range deployments {
		fmt.Fprintf(opts.IO.ErrOut, "Running %s\n", deployment)
		comparisons, err := experiment.CompareAll(deployment)
		if err != nil {
			return err
		}
		results[deployment] = comparisons
		tables += experiment.Markdown(deployment, comparisons) + "\n"
	}
	switch {
	case opts.JSON:
		return cmdutil.WriteJSON(opts.IO.Out, results)
	case opts.Page != "":
		return page.Replace(opts.Page, "cowsliparch experiment run -write docs/MEASURES.md", tables)
	default:
		_, err := fmt.Fprint(opts.IO.Out, tables)
		return err
	}
}
