package list

import (
	"context"
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
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO: f.IOStreams,
	}
	opts.Client = func() *operatorapi.Client { return opts.ClientFlags.Client(f) }
	if run == nil {
		run = listRun
	}
	return &cmdutil.Command{
		Use:     "list",
		Short:   "List the presets and mark the one in force",
		Example: "  $ cowsliparch preset list",
		Flags:   opts.ClientFlags.Declare,
		Run: func(ctx context.Context, _ []string) error {
			return run(ctx, opts)
		},
	}
}

func listRun(ctx context.Context, opts *Options) error {
	inForce, err := opts.Client().InForce(ctx)
	if err != nil {
		return err
	}
	if opts.ClientFlags.JSON {
		return cmdutil.WriteJSON(opts.IO.Out, struct {
			Version uint64
			InForce string
			Presets []string
		}{
			Version: inForce.Version,
			InForce: inForce.Preset,
			Presets: inForce.Presets,
		})
	}
	for _, name := range inForce.Presets {
		mark := " "
		if name == inForce.Preset {
			mark = "*"
		}
		fmt.Fprintf(opts.IO.Out, "%s %s\n", mark, name)
	}
	return nil
}
