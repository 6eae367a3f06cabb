package demo

import (
	"fmt"

	"github.com/cowsliparch/cowsliparch/internal/demo"
	"github.com/cowsliparch/cowsliparch/internal/load"
	loadcmd "github.com/cowsliparch/cowsliparch/pkg/cmd/load"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
)

// summary is the result of a demo run.
type summary struct {
	Deployment             string
	Calls                  []load.KindSummary
	AttainedPerAccelerator float64
	Accelerators           int
	MovesAtStart           int
	Moves                  int
	CrossRegionBytes       uint64
	MemoryBreaches         int
	MostRunsOfOneKey       int
	LogAppends             uint64
}

func report(opts *Options, summaries []load.KindSummary, after, before demo.Totals) error {
	s := summary{
		Deployment:       opts.Deployment,
		Calls:            summaries,
		Accelerators:     after.Accelerators,
		MovesAtStart:     before.LoadsStarted,
		Moves:            after.LoadsStarted - before.LoadsStarted,
		CrossRegionBytes: after.CrossRegionBytes - before.CrossRegionBytes,
		MemoryBreaches:   after.MemoryBreaches,
		MostRunsOfOneKey: after.MaxExecutionsPerKey,
		LogAppends:       after.LogAppends - before.LogAppends,
	}
	attained := 0
	for _, kindSummary := range summaries {
		if kindSummary.Kind == load.InteractiveCall || kindSummary.Kind == load.BatchCall {
			attained += kindSummary.Attained
		}
	}
	s.AttainedPerAccelerator = float64(attained) / float64(after.Accelerators)
	if opts.JSON {
		return cmdutil.WriteJSON(opts.IO.Out, s)
	}
	if err := loadcmd.WriteTable(opts.IO, summaries); err != nil {
		return err
	}
	fmt.Fprintf(opts.IO.Out, "\nAttained answers per accelerator  %.1f (%d accelerators)\n", s.AttainedPerAccelerator, s.Accelerators)
	fmt.Fprintf(opts.IO.Out, "Moves                             %d at the start, %d under load\n", s.MovesAtStart, s.Moves)
	fmt.Fprintf(opts.IO.Out, "Cross-region bytes                %d\n", s.CrossRegionBytes)
	fmt.Fprintf(opts.IO.Out, "Accelerator memory breaches       %d\n", s.MemoryBreaches)
	fmt.Fprintf(opts.IO.Out, "Most executions of one key        %d\n", s.MostRunsOfOneKey)
	fmt.Fprintf(opts.IO.Out, "Log appends                       %d\n", s.LogAppends)
	return nil
}
