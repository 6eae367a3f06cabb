package show

import (
	"context"
	"flag"
	"fmt"

	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// Options holds the dependencies and flags of the command.
type Options struct {
	IO          *iostreams.IOStreams
	Client      func() *operatorapi.Client
	ClientFlags cmdutil.ClientFlags
	Document    bool
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO: f.IOStreams,
	}
	opts.Client = func() *operatorapi.Client { return opts.ClientFlags.Client(f) }
	if run == nil {
		run = showRun
	}
	return &cmdutil.Command{
		Use:     "show",
		Short:   "Show the configuration in force",
		Example: "  $ cowsliparch configuration show\n  $ cowsliparch configuration show -document > peplos.json",
		Flags: func(flags *flag.FlagSet) {
			opts.ClientFlags.Declare(flags)
			flags.BoolVar(&opts.Document, "document", false, "write only the document")
		},
		Run: func(ctx context.Context, _ []string) error {
			return run(ctx, opts)
		},
	}
}

func showRun(ctx context.Context, opts *Options) error {
	inForce, err := opts.Client().InForce(ctx)
	if err != nil {
		return err
	}
	if opts.ClientFlags.JSON {
		return cmdutil.WriteJSON(opts.IO.Out, inForce)
	}
	if !opts.Document {
		fmt.Fprintf(opts.IO.Out, "VM       %s\nVersion  %d\nPreset   %s\n", inForce.VM, inForce.Version, inForce.Preset)
		return nil
	}
	_, err = opts.IO.Out.Write(append(inForce.Document, '\n'))
	return err
}
