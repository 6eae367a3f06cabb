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
	// loadTime is how long a load is expected to take.
	loadTime = 2 * time.Second
)

// plan gives the orders that the planner asks for.
func (d *duty) plan(ctx context.Context, endpoints []*directory.Endpoint) {
	byName := make(map[string]*directory.Endpoint, len(endpoints))
	for _, e := range endpoints {
		byName[e.VM.Name] = e
	}
	now := d.Clock.Now()
	for _, move := range d.planner.Plan(now, d.input(endpoints)) {
		if move.Action == endpoint.Load && !d.limiter.AllowN(now, 1) {
			continue
		}
		if !d.order(ctx, byName[move.Runner], move) {
			return
		}
	}
}

func (d *duty) input(endpoints []*directory.Endpoint) placement.Input {
	current := d.Configuration()
	c := current.Configuration()
	preset := current.Preset()
	in := placement.Input{
		MovePrice: preset.MovePrice,
		LoadTime:  loadTime,
	}
	homes, sizes := d.currentHomes(current)
	anchors := d.Anchors.State()
	service := ""
	for _, shard := range placement.Shards(c) {
		if shard.Name == d.shard {
			service = shard.Service
		}
	}
	for _, model := range c.Models {
		if model.Service != service {
			continue
		}
		held, known := anchors.Anchor(model.Name)
		calls, answer := d.Meter.Demand(model.Name)
		in.Wants = append(in.Wants, placement.Want{
			Model:          model.Name,
			Bytes:          sizes[model.Name],
			Floor:          homes[model.Name].Replicas[d.shard],
			Keep:           !known || held == d.shard,
			Elsewhere:      d.Elsewhere(model.Name),
			CallsPerSecond: calls,
			AnswerTime:     answer,
		})
	}
	book := d.Fleet.State().Ledger()
	loading := 0
	for _, e := range endpoints {
		runner := d.runner(book, e)
		loading += countLoading(runner)
		in.Runners = append(in.Runners, runner)
	}
	in.MaxLoads = max(0, d.storeShare(c)-loading)
	return in
}

func (d *duty) runner(book ledger.Ledger, e *directory.Endpoint) placement.Runner {
	reported, _ := e.Reported()
	return placement.Runner{
		Name:     e.VM.Name,
		Slots:    reported.Report.Slots,
		Accounts: book.Accounts(e.VM.Name, reported.Report, d.past(e)),
		Leaving:  e.Leaving() || !d.trusted(e),
	}
}

func countLoading(r placement.Runner) int {
	n := 0
	for _, account := range r.Accounts {
		for _, status := range account.Models {
			if status.Loading || (status.Present && !status.Ready) {
				n++
			}
		}
	}
	return n
}

// storeShare returns this shard's fixed part of the weight store's loads at once, and sets the pace of its loads. A
// shard that is cut off can't overrun its part.
func (d *duty) storeShare(c configuration.Configuration) int {
	shards := max(len(placement.Shards(c)), 1)
	d.limiter.SetLimit(rate.Limit(c.Store.LoadsPerSecond / float64(shards)))
	return max(c.Store.LoadsAtOnce/shards, 1)
}

// order records the intent of a move and, if it stands, sends the order; it reports whether to go on with the plan.
func (d *duty) order(ctx context.Context, e *directory.Endpoint, move placement.Move) bool {
	reported, _ := e.Reported()
	envelope, err := record.New(fleet.IntentKind, ledger.Intent{
		Shard:       d.shard,
		Fence:       d.fence,
		Base:        d.Fleet.State().Ledger().Last(e.VM.Name),
		Endpoint:    e.VM.Name,
		Incarnation: reported.Report.Incarnation,
		Sequence:    reported.Report.Sequence,
		Accelerator: move.Accelerator,
		Action:      move.Action,
		Model:       move.Model,
		Bytes:       move.Bytes,
		Sender:      d.Incarnation,
		VM:          d.VM,
		Why:         move.Why,
	})
	if err != nil {
		return false
	}
	d.setFlying(envelope.ID, true)
	submitting, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	state, _, err := d.Fleet.Submit(submitting, envelope)
	open := findOpen(state.Ledger(), e.VM.Name, envelope.ID)
	if err != nil || open == nil {
		// An append of unknown fate may open the intent later; it is then settled as never sent.
		event.OrderWithheld.Log(d.Logger, slog.String("Intent", envelope.ID), slog.String("Model", move.Model))
		d.orders.Go(func() { d.withdraw(envelope.ID) })
		return false
	}
	d.orders.Go(func() { d.send(e, open.Intent) })
	return true
}

func findOpen(book ledger.Ledger, name, id string) *ledger.Open {
	for _, open := range book.Open(name) {
		if open.Intent.ID == id {
			return &open
		}
	}
	return nil
}
