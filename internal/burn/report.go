package burn

import (
	"cmp"
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

const (
	// fastBurn and slowBurn are the burn rates that spend 2% of a 30-day error budget in one hour and 5% in six hours.
	fastBurn = 14.4
	slowBurn = 6

	index5m  = 0
	index30m = 1
	index1h  = 2
	index6h  = 3

	worstPerReport = 5
)

// Line reports the burn rates of one objective.
type Line struct {
	Service string
	Class   configuration.Class
	// Share is the fraction of calls that must meet the objective.
	Share float64
	// Burn holds the burn rate over each of Windows; a rate of 1 spends exactly the error budget.
	Burn []float64
	// Calls is the number of calls that ended in the longest window.
	Calls uint64
	// BudgetLeft is the remaining fraction of the longest window's error budget; it is negative if the budget is overspent.
	BudgetLeft float64
	// FastAlert is set if both the 5-minute and 1-hour rates exceed fastBurn, SlowAlert if both the 30-minute and 6-hour rates
	// exceed slowBurn.
	FastAlert bool
	SlowAlert bool
}

// Report is the burn-rate report of all objectives.
type Report struct {
	Lines        []Line
	WorstModels  []NamedCount
	WorstCallers []NamedCount
	// Unreached lists the names of the VMs whose counts are missing.
	Unreached []string
}

// NewReport computes the burn rates of a configuration's objectives from a summary.
func NewReport(c configuration.Configuration, summary Summary, unreached []string) Report {
	counts := make(map[ObjectiveKey][]Count, len(summary.Objectives))
	for _, o := range summary.Objectives {
		counts[ObjectiveKey{Service: o.Service, Class: o.Class}] = o.Counts
	}
	report := Report{
		WorstModels:  Worst(summary.Models, worstPerReport),
		WorstCallers: Worst(summary.Callers, worstPerReport),
		Unreached:    unreached,
	}
	for _, o := range c.Objectives {
		objectiveCounts := counts[ObjectiveKey{Service: o.Service, Class: o.Class}]
		if objectiveCounts == nil {
			objectiveCounts = make([]Count, len(Windows))
		}
		report.Lines = append(report.Lines, newLine(o, objectiveCounts))
	}
	slices.SortFunc(report.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return report
}

func newLine(o configuration.Objective, counts []Count) Line {
	budget := 1 - o.Share
	l := Line{
		Service:    o.Service,
		Class:      o.Class,
		Share:      o.Share,
		Calls:      counts[index6h].Total,
		BudgetLeft: 1 - counts[index6h].BadShare()/budget,
	}
	for _, count := range counts {
		l.Burn = append(l.Burn, count.BadShare()/budget)
	}
	l.FastAlert = l.Burn[index5m] > fastBurn && l.Burn[index1h] > fastBurn
	l.SlowAlert = l.Burn[index30m] > slowBurn && l.Burn[index6h] > slowBurn
	return l
}
