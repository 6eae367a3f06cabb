package root

import (
	"github.com/cowsliparch/cowsliparch/pkg/cmd/capacity/measure"
	configurationcheck "github.com/cowsliparch/cowsliparch/pkg/cmd/configuration/check"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/configuration/publish"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/configuration/show"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/demo"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/entry"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/experiment/run"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/explain"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/load"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/preset/list"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/preset/use"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/report/burn"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/serve"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/settings/check"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/settings/example"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
)

// NewCommand returns the root command with all subcommands.
func NewCommand(f *cmdutil.Factory) *cmdutil.Command {
	return &cmdutil.Command{
		Use:   "cowsliparch",
		Short: "Serve many models on fewer accelerators",
		Commands: []*cmdutil.Command{
			entry.NewCommand(f, nil),
			serve.NewCommand(f, nil),
			demo.NewCommand(f, nil),
			group("configuration", "Check, publish and show the operators' configuration",
				configurationcheck.NewCommand(f, nil), publish.NewCommand(f, nil), show.NewCommand(f, nil)),
			group("preset", "List presets and put one in force",
				list.NewCommand(f, nil), use.NewCommand(f, nil)),
			group("report", "Show reports on the system",
				burn.NewCommand(f, nil)),
			explain.NewCommand(f, nil),
			group("experiment", "Compare routing policies by simulation",
				run.NewCommand(f, nil)),
			group("capacity", "Estimate resource use at the target size",
				measure.NewCommand(f, nil)),
			load.NewCommand(f, nil),
			group("settings", "Check settings files and write examples",
				check.NewCommand(f, nil), example.NewCommand(f, nil)),
		},
	}
}

func group(name, short string, subcommands ...*cmdutil.Command) *cmdutil.Command {
	return &cmdutil.Command{
		Use:      name,
		Short:    short,
		Commands: subcommands,
	}
}
