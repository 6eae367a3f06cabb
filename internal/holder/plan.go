package holder

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/fleet"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
	"github.com/cowsliparch/cowsliparch/internal/placement"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

const (
	orderTimeout = 5 * time.Second
	// loadTime is the expected duration of a load.
	loadTime = 2 * time.Second
)

// applyPlan issues the orders of the planner's moves.
func (m *shardManager) applyPlan(ctx context.Context, endpoints []*directory.Endpoint) {
	byName := make(map[string]*directory.Endpoint, len(endpoints))
	for _, e := range endpoints {
		byName[e.VM.Name] = e
	}
	now := m.Clock.Now()
	for _, move := range m.planner.Plan(now, m.planInput(endpoints)) {
		if move.Action == endpoint.Load && !m.limiter.AllowN(now, 1) {
			continue
		}
		if !m.issueOrder(ctx, byName[move.Runner], move) {
			return
		}
	}
}

// planInput collects the planner's input from the configuration, demand, ledger and reports.
func (m *shardManager) planInput(endpoints []*directory.Endpoint) placement.Input {
	state := m.Configuration()
	c := state.Configuration()
	preset := state.Preset()
	in := placement.Input{
		MovePrice: preset.MovePrice,
		LoadTime:  loadTime,
	}
	assignments, replicaBytes := m.currentAssignments(state)
	anchors := m.Anchors.State()
	service := ""
	for _, shard := range placement.Shards(c) {
		if shard.Name == m.shard {
			service = shard.Service
		}
	}
	for _, model := range c.Models {
		if model.Service != service {
			continue
		}
		anchorShard, known := anchors.Anchor(model.Name)
		callsPerSecond, answerTime := m.Meter.Demand(model.Name)
		in.Targets = append(in.Targets, placement.Target{
			Model:               model.Name,
			Bytes:               replicaBytes[model.Name],
			Floor:               assignments[model.Name].Replicas[m.shard],
			KeepLast:            !known || anchorShard == m.shard,
			ServedByOtherDomain: m.ServedByOtherDomain(model.Name),
			CallsPerSecond:      callsPerSecond,
			AnswerTime:          answerTime,
		})
	}
	domainLedger := m.Fleet.State().Ledger()
	loading := 0
	for _, e := range endpoints {
		runner := m.runner(domainLedger, e)
		loading += countLoading(runner)
		in.Runners = append(in.Runners, runner)
	}
	in.MaxLoads = max(0, m.updateLoadLimit(c)-loading)
	return in
}

func (m *shardManager) runner(domainLedger ledger.Ledger, e *directory.Endpoint) placement.Runner {
	lastReport, _ := e.LastReport()
	return placement.Runner{
		Name:         e.VM.Name,
		Slots:        lastReport.Report.Slots,
		Accelerators: domainLedger.Accelerators(e.VM.Name, lastReport.Report, m.incarnationEnded(e)),
		Leaving:      e.Leaving() || !m.trustsReport(e),
	}
}

// countLoading returns how many models of a runner are being loaded.
func countLoading(r placement.Runner) int {
	n := 0
	for _, memory := range r.Accelerators {
		for _, status := range memory.Models {
			if status.Loading || (status.Present && !status.Ready) {
				n++
			}
		}
	}
	return n
}

// updateLoadLimit sets the rate limit of this shard's loads and returns how many may be in progress at once. Each shard
// has a fixed share of the weight store's limits, so that a shard that is cut off can't exceed its own.
func (m *shardManager) updateLoadLimit(c configuration.Configuration) int {
	shards := max(len(placement.Shards(c)), 1)
	m.limiter.SetLimit(rate.Limit(c.Store.LoadsPerSecond / float64(shards)))
	return max(c.Store.LoadsAtOnce/shards, 1)
}

// issueOrder records the intent of a move and, if that is accepted, sends the order. It reports whether to continue with
// the plan.
func (m *shardManager) issueOrder(ctx context.Context, e *directory.Endpoint, move placement.Move) bool {
	lastReport, _ := e.LastReport()
	envelope, err := record.New(fleet.IntentKind, ledger.Intent{
		Shard:       m.shard,
		Fence:       m.fence,
		Base:        m.Fleet.State().Ledger().Last(e.VM.Name),
		Endpoint:    e.VM.Name,
		Incarnation: lastReport.Report.Incarnation,
		Sequence:    lastReport.Report.Sequence,
		Accelerator: move.Accelerator,
		Action:      move.Action,
		Model:       move.Model,
		Bytes:       move.Bytes,
		Sender:      m.Incarnation,
		VM:          m.VM,
		Why:         move.Why,
	})
	if err != nil {
		return false
	}
	m.setInFlight(envelope.ID, true)
	submitCtx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	state, _, err := m.Fleet.Submit(submitCtx, envelope)
	open := findOpen(state.Ledger(), e.VM.Name, envelope.ID)
	if err != nil || open == nil {
		// An append of unknown outcome may still open the intent later; withdraw then settles it as never sent.
		event.OrderWithheld.Log(m.Logger, slog.String("Intent", envelope.ID), slog.String("Model", move.Model))
		m.sends.Go(func() { m.withdraw(envelope.ID) })
		return false
	}
	m.sends.Go(func() { m.sendOrder(e, open.Intent) })
	return true
}

func findOpen(domainLedger ledger.Ledger, name, id string) *ledger.OpenOrder {
	for _, open := range domainLedger.Open(name) {
		if open.Intent.ID == id {
			return &open
		}
	}
	return nil
}
