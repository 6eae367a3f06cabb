package use

import (
	"context"
	"flag"

	"github.com/google/uuid"

	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// Options holds the dependencies and flags of the command.
type Options struct {
	IO          *iostreams.IOStreams
	Client      func() *operatorapi.Client
	ClientFlags cmdutil.ClientFlags

	Preset string
	Base   uint64
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO: f.IOStreams,
	}
	opts.Client = func() *operatorapi.Client { return opts.ClientFlags.Client(f) }
	if run == nil {
		run = useRun
	}
	return &cmdutil.Command{
		Use:     "use <preset>",
		Short:   "Put a preset in force",
		Example: "  $ cowsliparch preset use peak\n  $ cowsliparch preset use maintenance -base 41",
		Args:    1,
		Flags: func(flags *flag.FlagSet) {
			opts.ClientFlags.Declare(flags)
			flags.Uint64Var(&opts.Base, "base", 0, "`version` that the change is based on (default: the one in force)")
		},
		Run: func(ctx context.Context, args []string) error {
			opts.Preset = args[0]
			return run(ctx, opts)
		},
	}
}

func useRun(ctx context.Context, opts *Options) error {
	client := opts.Client()
	base := opts.Base
	if base == 0 {
		inForce, err := client.InForce(ctx)
		if err != nil {
			return err
		}
		base = inForce.Version
	}
	return cmdutil.PublishChange(ctx, opts.IO, client, opts.ClientFlags.JSON, operatorapi.Change{
		ID:     uuid.NewString(),
		Base:   base,
		Preset: opts.Preset,
	})
}
