package serve

import (
	"context"
	"flag"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/boottime"
	"github.com/cowsliparch/cowsliparch/internal/logbuffer"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/serving"
	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/platform"
)

// Options holds the dependencies and flags of the command.
type Options struct {
	IO       *iostreams.IOStreams
	Settings func(path string) (settings.Serving, error)
	Clock    func() clockwork.Clock
	Path     string
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO:       f.IOStreams,
		Settings: settings.ReadServing,
		Clock:    f.Clock,
	}
	if run == nil {
		run = serveRun
	}
	return &cmdutil.Command{
		Use:   "serve",
		Short: "Run the process of an entry VM on the users' platform",
		Long: "Run the process of an entry VM on the users' platform until SIGTERM or SIGINT.\n\n" +
			"The process stops gracefully: it reports not ready at once and completes the requests in flight.\n" +
			"The settings are read again on SIGHUP and when the file changes; new limits apply at once, the rest after a restart.",
		Example: "  $ cowsliparch serve -settings serve.ini",
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&opts.Path, "settings", platform.SettingsPath(), "settings `file`")
		},
		Run: func(ctx context.Context, _ []string) error { return run(ctx, opts) },
	}
}

func serveRun(ctx context.Context, opts *Options) error {
	s, err := opts.Settings(opts.Path)
	if err != nil {
		return cmdutil.ReportInvalid(opts.IO, err)
	}
	if limit := serving.HeapLimit(s.VM); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	writer := logbuffer.New(opts.IO.Out)
	logCtx, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		_ = writer.Run(logCtx)
	}()
	defer func() {
		stopLogging()
		<-flushed
	}()
	logger := slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{
		Level: s.Log.Level,
	})).With("VM", s.VM.Name)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	server, err := newServer(s, opts, writer, reloadSignals, logger)
	if err != nil {
		return err
	}
	return server.Run(ctx)
}

// newServer returns a server that uses the adapter of the users' platform.
func newServer(s settings.Serving, opts *Options, writer *logbuffer.Writer, reloadSignals <-chan os.Signal, logger *slog.Logger) (*serving.Server, error) {
	clock := opts.Clock()
	pool := outbound.NewPool(clock)
	client := platform.NewRunnerClient(pool)
	store := platform.NewStore(s.Platform.Store, pool)
	return serving.New(serving.Dependencies{
		Settings:      s,
		Reload:        func() (settings.Serving, error) { return opts.Settings(opts.Path) },
		ReloadSignals: reloadSignals,
		Source:        store,
		Log:           store,
		Quarantine:    store,
		Origins:       store,
		Sender:        client,
		Orders:        client,
		Pool:          pool,
		ReadyPath:     platform.ReadinessPath,
		LinesDropped:  writer.Dropped,
		Clock:         clock,
		BootClock:     boottime.System{},
		Logger:        logger,
		Ingress: func(server *serving.Server) http.Handler {
			return &platform.Ingress{
				Serve:          server.Serve,
				BodyLimit:      server.BodyLimit,
				Stopping:       server.Stopping,
				AdmissionEnded: server.AdmissionEnded,
				Clock:          clock,
			}
		},
	})
}
