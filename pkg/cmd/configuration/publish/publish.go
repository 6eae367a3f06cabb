package publish

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// Error is the class of errors from reading a document.
var Error = errs.Class("document")

// Options holds the dependencies and flags of the command.
type Options struct {
	IO          *iostreams.IOStreams
	Client      func() *operatorapi.Client
	ClientFlags cmdutil.ClientFlags

	Path   string
	Preset string
	Base   uint64
	ID     string
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO: f.IOStreams,
	}
	opts.Client = func() *operatorapi.Client { return opts.ClientFlags.Client(f) }
	if run == nil {
		run = publishRun
	}
	return &cmdutil.Command{
		Use:   "publish <file>",
		Short: "Publish a configuration document",
		Long: "Publish a configuration document as a change to the version in force.\n\n" +
			"The outcome is Accepted, Conflict (another change won), Invalid (with every error), NotAppended (no effect) or UnknownYet.\n" +
			"After UnknownYet, run the command again with -id, which queries the outcome and never publishes twice.",
		Example: "  $ cowsliparch configuration publish peplos.json -preset ordinary\n" +
			"  $ cowsliparch configuration show -document | cowsliparch configuration publish -",
		Args: 1,
		Flags: func(flags *flag.FlagSet) {
			opts.ClientFlags.Declare(flags)
			flags.StringVar(&opts.Preset, "preset", "", "`name` of the preset to put in force with the document")
			flags.Uint64Var(&opts.Base, "base", 0, "`version` that the document is based on (default: the one in force)")
			flags.StringVar(&opts.ID, "id", "", "`ID` of an earlier change whose outcome was UnknownYet")
		},
		Run: func(ctx context.Context, args []string) error {
			opts.Path = args[0]
			return run(ctx, opts)
		},
	}
}

func publishRun(ctx context.Context, opts *Options) error {
	document, err := readDocument(opts)
	if err != nil {
		return err
	}
	client := opts.Client()
	if opts.ID != "" {
		outcome, err := client.Outcome(ctx, opts.ID)
		if err != nil {
			return err
		}
		return cmdutil.ReportOutcome(opts.IO, opts.ClientFlags.JSON, outcome)
	}
	base := opts.Base
	if base == 0 {
		inForce, err := client.InForce(ctx)
		if err != nil {
			return err
		}
		base = inForce.Version
	}
	return cmdutil.PublishChange(ctx, opts.IO, client, opts.ClientFlags.JSON, operatorapi.Change{
		ID:       uuid.NewString(),
		Base:     base,
		Document: document,
		Preset:   opts.Preset,
	})
}

func readDocument(opts *Options) ([]byte, error) {
	if opts.Path == "-" {
		document, err := io.ReadAll(opts.IO.In)
		return document, Error.Wrap(err)
	}
	document, err := os.ReadFile(opts.Path)
	return document, Error.Wrap(err)
}
