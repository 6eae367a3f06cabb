package example

import (
	"context"
	"flag"
	"fmt"

	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

// Options holds the dependencies and flags of the command.
type Options struct {
	IO *iostreams.IOStreams
	// For is the command that the example settings are for.
	For string
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(*Options) error) *cmdutil.Command {
	opts := &Options{
		IO: f.IOStreams,
	}
	if run == nil {
		run = exampleRun
	}
	return &cmdutil.Command{
		Use:     "example",
		Short:   "Write a commented example of a valid settings file",
		Example: "  $ cowsliparch settings example > entry.ini\n  $ cowsliparch settings example -for serve > serve.ini",
		Flags:   func(flags *flag.FlagSet) { cmdutil.DeclareForFlag(flags, &opts.For) },
		Run: func(context.Context, []string) error {
			return run(opts)
		},
	}
}

func exampleRun(opts *Options) error {
	text := settings.Example()
	if opts.For == cmdutil.ServeCommand {
		text = settings.ServingExample()
	}
	_, err := fmt.Fprint(opts.IO.Out, text)
	return err
}
