package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/demo"
	"github.com/cowsliparch/cowsliparch/internal/deployment"
	"github.com/cowsliparch/cowsliparch/internal/load"
	loadcmd "github.com/cowsliparch/cowsliparch/pkg/cmd/load"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

// Options is what the command works with.
type Options struct {
	IO         *iostreams.IOStreams
	Clock      func() clockwork.Clock
	Deployment string
	Serve      bool
	Verbose    bool
	JSON       bool
	Load       load.Options
}

// NewCommand returns the command; run replaces its work in tests.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO:    f.IOStreams,
		Clock: f.Clock,
	}
	if run == nil {
		run = demoRun
	}
	return &cmdutil.Command{
		Use:   "demo",
		Short: "Run a whole deployment in one process and load it",
		Long: "Run entry VMs of three failure domains and stand-ins for the platform and the endpoints in one process\n" +
			"on loopback, wake all callers at once, and show what they got.",
		Example: "  $ cowsliparch demo\n  $ cowsliparch demo -deployment huallaga -for 30s -rate 200\n  $ cowsliparch demo -serve",
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&opts.Deployment, "deployment", "peplos", "`name` of the deployment: peplos or huallaga")
			flags.BoolVar(&opts.Serve, "serve", false, "stay up, and print the addresses")
			flags.BoolVar(&opts.Verbose, "verbose", false, "write the entries' logs to standard error")
			flags.BoolVar(&opts.JSON, "json", false, "write JSON")
			loadcmd.DeclareLoad(flags, &opts.Load)
		},
		Run: func(ctx context.Context, _ []string) error {
			if err := loadcmd.CheckLoad(opts.Load); err != nil {
				return err
			}
			return run(ctx, opts)
		},
	}
}

const startTimeout = 2 * time.Minute

func demoRun(ctx context.Context, opts *Options) error {
	chosen, err := deployment.Named(opts.Deployment)
	if err != nil {
		return &cmdutil.FlagError{Reason: err.Error()}
	}
	world, err := demo.New(demo.Options{
		Deployment: chosen,
		Seed:       opts.Load.Seed,
		Logger:     logger(opts),
	})
	if err != nil {
		return err
	}
	defer world.Close()
	if err := start(ctx, opts, world); err != nil {
		return err
	}
	if opts.Serve {
		return serve(ctx, opts, world)
	}
	before := world.Totals()
	opts.Load.Addresses = world.CallerAddresses()
	opts.Load.Configuration = chosen.Configuration
	opts.Load.Verify = world.Verify
	opts.Load.Progress = loadcmd.Progress(opts.IO)
	result := load.Run(ctx, opts.Load, opts.Clock())
	loadcmd.ClearProgress(opts.IO)
	return report(opts, result.Summary(), world.Totals(), before)
}

func start(ctx context.Context, opts *Options, world *demo.World) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := world.Publish(ctx); err != nil {
		return err
	}
	fmt.Fprintf(opts.IO.ErrOut, "Loading %d models onto %d runners\n", len(world.Deployment.Configuration.Models), len(world.Engines))
	return world.WaitServing(ctx)
}

func logger(opts *Options) *slog.Logger {
	if !opts.Verbose {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	return slog.New(slog.NewTextHandler(opts.IO.ErrOut, nil))
}

func serve(ctx context.Context, opts *Options, world *demo.World) error {
	for _, member := range world.Entries {
		fmt.Fprintf(opts.IO.Out, "%s  callers %s  control %s\n", member.VM.Name, member.Entry.CallerAddress(), member.Entry.ControlAddress())
	}
	fmt.Fprintf(opts.IO.Out, "log service  %s\nVM list      %s\n", world.LogURL(), world.ListURL())
	model := world.Deployment.Configuration.Models[0].Name
	fmt.Fprintf(opts.IO.ErrOut, "Try:\n  curl -N http://%s/v1/chat/completions -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		world.Entries[0].Entry.CallerAddress(), model)
	<-ctx.Done()
	return nil
}
