package check

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/configcheck"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/registry"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/platform"
)

// The classes of errors from reading a configuration, by where it comes from.
var (
	FileError  = errs.Class("configuration file")
	StoreError = errs.Class("configuration in the store")
)

// AgainstError reports that VMs would not put in force the file that is given as the one in force.
type AgainstError struct {
	Path    string
	Finding configcheck.Finding
}

// Error implements error.
func (e *AgainstError) Error() string {
	return e.Path + " can't be the configuration in force: " + e.Finding.Entry + ": " + e.Finding.Message
}

// Options holds the dependencies and flags of the command.
type Options struct {
	IO *iostreams.IOStreams
	// InForce returns the configuration that the store at an address has.
	InForce func(ctx context.Context, address string) (registry.Configuration, error)
	Path    string
	Against string
	Store   string
	JSON    bool
}

// NewCommand returns the command; tests pass run to replace its implementation.
func NewCommand(f *cmdutil.Factory, run func(context.Context, *Options) error) *cmdutil.Command {
	opts := &Options{
		IO:      f.IOStreams,
		InForce: readStore(f.Clock),
	}
	if run == nil {
		run = checkRun
	}
	return &cmdutil.Command{
		Use:   "check <file>",
		Short: "Check a configuration for the users' platform before it is sent",
		Long: "Check a configuration for the users' platform before it is sent.\n\n" +
			"Errors are what VMs reject; the exit code is 1 if there are any. Warnings are what VMs ignore or replace, entries without\n" +
			"effect and limits that contradict each other. With -against or -store, the command also lists what differs from the\n" +
			"version in force. API keys are counted and never shown.",
		Example: "  $ cowsliparch configuration check next.json -against current.json\n" +
			"  $ cowsliparch configuration check next.json -store 127.0.0.1:7070 -json",
		Args: 1,
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&opts.Against, "against", "", "`file` with the configuration in force")
			flags.StringVar(&opts.Store, "store", "", "`address` of the store that has the configuration in force")
			flags.BoolVar(&opts.JSON, "json", false, "write JSON")
		},
		Run: func(ctx context.Context, args []string) error {
			opts.Path = args[0]
			if opts.Against != "" && opts.Store != "" {
				return &cmdutil.FlagError{Reason: "-against and -store can't be used together"}
			}
			if opts.Path == stdin && opts.Against == stdin {
				return &cmdutil.FlagError{Reason: "only one of the two files can be standard input"}
			}
			return run(ctx, opts)
		},
	}
}

// readStore returns a function that reads the configuration of the store at an address.
func readStore(clock func() clockwork.Clock) func(context.Context, string) (registry.Configuration, error) {
	return func(ctx context.Context, address string) (registry.Configuration, error) {
		return platform.NewStore(address, outbound.NewPool(clock())).Configuration(ctx)
	}
}

func checkRun(ctx context.Context, opts *Options) error {
	encoded, err := readFile(opts, opts.Path)
	if err != nil {
		return err
	}
	next, findings := platform.InspectConfiguration(encoded)
	report := configcheck.NewReport(0, findings)
	if next != nil {
		if report, err = checkDecoded(ctx, opts, next, findings); err != nil {
			return err
		}
	}
	if opts.JSON {
		err = cmdutil.WriteJSON(opts.IO.Out, report)
	} else {
		err = writeReport(opts.IO, opts.Path, report)
	}
	if err == nil && report.Errors > 0 {
		return &cmdutil.SilentError{Code: cmdutil.ExitError}
	}
	return err
}

// checkDecoded returns the report on a configuration, given what was found while it was decoded.
func checkDecoded(ctx context.Context, opts *Options, next *catalog.Catalog, findings []configcheck.Finding) (configcheck.Report, error) {
	findings = append(findings, configcheck.Check(next)...)
	if opts.Against == "" && opts.Store == "" {
		return configcheck.NewReport(next.Version, findings), nil
	}
	inForce, err := readInForce(ctx, opts)
	if err != nil {
		return configcheck.Report{}, err
	}
	version := uint64(0)
	if inForce != nil {
		version = inForce.Version
		findings = append(findings, configcheck.CheckSuccessor(next, inForce)...)
	}
	return configcheck.NewReport(next.Version, findings).WithDifferences(version, configcheck.Compare(inForce, next)), nil
}

// readInForce returns the configuration in force, or nil if the store has none.
func readInForce(ctx context.Context, opts *Options) (*catalog.Catalog, error) {
	if opts.Store != "" {
		configuration, err := opts.InForce(ctx, opts.Store)
		return configuration.Catalog, StoreError.Wrap(err)
	}
	encoded, err := readFile(opts, opts.Against)
	if err != nil {
		return nil, err
	}
	inForce, findings := platform.InspectConfiguration(encoded)
	if inForce == nil {
		configcheck.Sort(findings)
		return nil, &AgainstError{Path: opts.Against, Finding: findings[0]}
	}
	return inForce, nil
}

// stdin is the path that stands for standard input.
const stdin = "-"

func readFile(opts *Options, path string) ([]byte, error) {
	if path == stdin {
		encoded, err := io.ReadAll(opts.IO.In)
		return encoded, FileError.Wrap(err)
	}
	encoded, err := os.ReadFile(path)
	return encoded, FileError.Wrap(err)
}
