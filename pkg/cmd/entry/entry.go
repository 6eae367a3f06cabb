package entry

import (
	"context"
	"flag"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/endpoint/httpendpoint"
	"github.com/cowsliparch/cowsliparch/internal/entry"
	"github.com/cowsliparch/cowsliparch/internal/logservice/httplog"
	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/internal/vmlist/httpvmlist"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

// Options holds the dependencies and flags of the command.
type Options struct {
	IO       *iostreams.IOStreams
	Settings func(path string) (settings.Settings, error)
	Clock    func() clockwork.Clock
	Path     string
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO:       f.IOStreams,
		Settings: f.Settings,
		Clock:    f.Clock,
	}
	if run == nil {
		run = entryRun
	}
	return &cmdutil.Command{
		Use:   "entry",
		Short: "Run the process of an entry VM",
		Long: "Run the process of an entry VM until SIGTERM or SIGINT.\n\n" +
			"The process stops gracefully: it reports not ready at once and completes the calls in flight.",
		Example: "  $ cowsliparch entry -settings entry.ini",
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&opts.Path, "settings", "", "settings `file` (required)")
		},
		Run: func(ctx context.Context, _ []string) error {
			if opts.Path == "" {
				return &cmdutil.FlagError{Reason: "-settings is required"}
			}
			return run(ctx, opts)
		},
	}
}

const (
	dialTimeout = 2 * time.Second
	idleTimeout = time.Minute
)

func entryRun(ctx context.Context, opts *Options) error {
	s, err := opts.Settings(opts.Path)
	if err != nil {
		return cmdutil.ReportInvalid(opts.IO, err)
	}
	logger := slog.New(slog.NewJSONHandler(opts.IO.ErrOut, &slog.HandlerOptions{
		Level: s.Log.Level,
	})).With("VM", s.VM.Name)
	platformClient := &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{
				Timeout: dialTimeout,
			}).DialContext,
			IdleConnTimeout: idleTimeout,
		},
	}
	endpoints := httpendpoint.New()
	e, err := entry.New(entry.Dependencies{
		Settings: s,
		Log:      httplog.New(s.Platform.LogService, platformClient),
		VMList:   httpvmlist.New(s.Platform.VMList, platformClient),
		Engine:   endpoints,
		Service:  endpoints,
		Clock:    opts.Clock(),
		Logger:   logger,
	})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
