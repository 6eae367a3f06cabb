package root

import (
	"github.com/cowsliparch/cowsliparch/pkg/cmd/capacity/measure"
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

// NewCommand returns the whole command tree.
func NewCommand(f *cmdutil.Factory) *cmdutil.Command {
	return &cmdutil.Command{
		Use:   "cowsliparch",
		Short: "Serve many models on fewer accelerators",
		Commands: []*cmdutil.Command{
			entry.NewCommand(f, nil),
			serve.NewCommand(f, nil),
			demo.NewCommand(f, nil),
			noun("configuration", "Publish and show the operators' configuration",
				publish.NewCommand(f, nil), show.NewCommand(f, nil)),
			noun("preset", "List presets and put one in force",
				list.NewCommand(f, nil), use.NewCommand(f, nil)),
			noun("report", "Report what the system did",
				burn.NewCommand(f, nil)),
			explain.NewCommand(f, nil),
			noun("experiment", "Set the policy against others",
				run.NewCommand(f, nil)),
			noun("capacity", "Work out what the target size costs",
				measure.NewCommand(f, nil)),
			load.NewCommand(f, nil),
			noun("settings", "Check settings files",
				check.NewCommand(f, nil), example.NewCommand(f, nil)),
		},
	}
}

func noun(name, short string, verbs ...*cmdutil.Command) *cmdutil.Command {
	return &cmdutil.Command{
		Use:      name,
		Short:    short,
		Commands: verbs,
	}
}
