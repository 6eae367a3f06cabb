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

// Options holds the dependencies and flags of the command.
type Options struct {
	IO         *iostreams.IOStreams
	Clock      func() clockwork.Clock
	Deployment string
	Serve      bool
	Verbose    bool
	JSON       bool
	Load       load.Options
}

// NewCommand returns the command; tests pass run to replace its implementation.
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
		Short: "Run a complete deployment in one process under load",
		Long: "Run entry VMs of three failure domains and fakes of the platform and the endpoints in one process\n" +
			"on loopback, start all callers at once, and show their results.",
		Example: "  $ cowsliparch demo\n  $ cowsliparch demo -deployment huallaga -for 30s -rate 200\n  $ cowsliparch demo -serve",
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&opts.Deployment, "deployment", "peplos", "`name` of the deployment: peplos or huallaga")
			flags.BoolVar(&opts.Serve, "serve", false, "keep running and print the addresses")
			flags.BoolVar(&opts.Verbose, "verbose", false, "write the entry VMs' logs to standard error")
			flags.BoolVar(&opts.JSON, "json", false, "write JSON")
			loadcmd.DeclareFlags(flags, &opts.Load)
		},
		Run: func(ctx context.Context, _ []string) error {
			if err := loadcmd.ValidateOptions(opts.Load); err != nil {
				return err
			}
			return run(ctx, opts)
		},
	}
}

const startTimeout = 2 * time.Minute

func demoRun(ctx context.Context, opts *Options) error {
	selected, err := deployment.ByName(opts.Deployment)
	if err != nil {
		return &cmdutil.FlagError{Reason: err.Error()}
	}
	cluster, err := demo.New(demo.Options{
		Deployment: selected,
		Seed:       opts.Load.Seed,
		Logger:     newLogger(opts),
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	if err := start(ctx, opts, cluster); err != nil {
		return err
	}
	if opts.Serve {
		return serve(ctx, opts, cluster)
	}
	before := cluster.Totals()
	opts.Load.Addresses = cluster.CallerAddresses()
	opts.Load.Configuration = selected.Configuration
	opts.Load.Verify = cluster.Verify
	opts.Load.Progress = loadcmd.Progress(opts.IO)
	result := load.Run(ctx, opts.Load, opts.Clock())
	loadcmd.ClearProgress(opts.IO)
	return report(opts, result.Summary(), cluster.Totals(), before)
}

func start(ctx context.Context, opts *Options, cluster *demo.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := cluster.Publish(ctx); err != nil {
		return err
	}
	fmt.Fprintf(opts.IO.ErrOut, "Loading %d models onto %d runners\n", len(cluster.Deployment.Configuration.Models), len(cluster.Engines))
	return cluster.WaitServing(ctx)
}

func newLogger(opts *Options) *slog.Logger {
	if !opts.Verbose {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	return slog.New(slog.NewTextHandler(opts.IO.ErrOut, nil))
}

func serve(ctx context.Context, opts *Options, cluster *demo.Cluster) error {
	for _, member := range cluster.Entries {
		fmt.Fprintf(opts.IO.Out, "%s  callers %s  control %s\n", member.VM.Name, member.Entry.CallerAddress(), member.Entry.ControlAddress())
	}
	fmt.Fprintf(opts.IO.Out, "log service  %s\nVM list      %s\n", cluster.LogURL(), cluster.VMListURL())
	model := cluster.Deployment.Configuration.Models[0].Name
	fmt.Fprintf(opts.IO.ErrOut, "Try:\n  curl -N http://%s/v1/chat/completions -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		cluster.Entries[0].Entry.CallerAddress(), model)
	<-ctx.Done()
	return nil
}
