package check

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
	IO       *iostreams.IOStreams
	Settings func(path string) (settings.Settings, error)
	Serving  func(path string) (settings.Serving, error)
	Path     string
	// For is the command whose settings are checked.
	For string
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(*Options) error) *cmdutil.Command {
	opts := &Options{
		IO:       f.IOStreams,
		Settings: f.Settings,
		Serving:  settings.ReadServing,
	}
	if run == nil {
		run = checkRun
	}
	return &cmdutil.Command{
		Use:     "check <file>",
		Short:   "Check a settings file and list every error",
		Example: "  $ cowsliparch settings check entry.ini\n  $ cowsliparch settings check -for serve serve.ini",
		Flags:   func(flags *flag.FlagSet) { cmdutil.DeclareForFlag(flags, &opts.For) },
		Args:    1,
		Run: func(_ context.Context, args []string) error {
			opts.Path = args[0]
			return run(opts)
		},
	}
}

func checkRun(opts *Options) error {
	if err := validate(opts); err != nil {
		return cmdutil.ReportInvalid(opts.IO, err)
	}
	fmt.Fprintf(opts.IO.Out, "%s passes validation\n", opts.Path)
	return nil
}

func validate(opts *Options) error {
	if opts.For == cmdutil.ServeCommand {
		_, err := opts.Serving(opts.Path)
		return err
	}
	_, err := opts.Settings(opts.Path)
	return err
}
