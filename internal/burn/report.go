package burn

import (
	"cmp"
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

const (
	// fastBurn and slowBurn are the rates at which 2% of a 30-day budget goes in an hour and 5% in six hours.
	fastBurn = 14.4
	slowBurn = 6

	index5m  = 0
	index30m = 1
	index1h  = 2
	index6h  = 3

	worstShown = 5
)

// Line is the burn of one objective.
type Line struct {
	Service string
	Class   configuration.Class
	// Share is the part of the calls that must meet the objective.
	Share float64
	// Burn is the rate at which the error budget is spent over each of Windows; 1 spends it exactly.
	Burn []float64
	// Calls is how many calls ended in the longest window.
	Calls uint64
	// BudgetLeft is the part of the longest window's error budget not spent; below 0 it is overspent.
	BudgetLeft float64
	// FastAlert and SlowAlert tell that both windows of a pair burn too fast.
	FastAlert bool
	SlowAlert bool
}

// Report is the burn of every objective.
type Report struct {
	Lines        []Line
	WorstModels  []Named
	WorstCallers []Named
	// Unreached names the VMs whose counts are missing.
	Unreached []string
}

// NewReport works a summary out against the objectives of a configuration.
func NewReport(c configuration.Configuration, summary Summary, unreached []string) Report {
	counts := make(map[Key][]Count, len(summary.Objectives))
	for _, o := range summary.Objectives {
		counts[Key{Service: o.Service, Class: o.Class}] = o.Counts
	}
	report := Report{
		WorstModels:  Worst(summary.Models, worstShown),
		WorstCallers: Worst(summary.Callers, worstShown),
		Unreached:    unreached,
	}
	for _, o := range c.Objectives {
		counted := counts[Key{Service: o.Service, Class: o.Class}]
		if counted == nil {
			counted = make([]Count, len(Windows))
		}
		report.Lines = append(report.Lines, line(o, counted))
	}
	slices.SortFunc(report.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return report
}

func line(o configuration.Objective, counts []Count) Line {
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
