package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/shedding"
)

// Shedding decides which requests to models are delayed or refused first.
type Shedding struct {
	// ByCost reports whether the shedder decides; if it is nil or reports false, priority and expected wait do.
	ByCost  func() bool
	Shedder *shedding.Shedder
	// Stopping reports whether this VM stops; delayed requests are then sent.
	Stopping func() bool
}

// shed is what was decided on a request by cost.
type shed struct {
	// decided is set once the shedder was asked.
	decided bool
	// reason is that of the first delay or of the refusal, if any.
	reason shedding.Reason
	// delayedAt is when the request was delayed first, delay how long it was in all.
	delayedAt time.Time
	delay     time.Duration
}

// shedsByCost reports whether the shedder decides on the request, which is possible until it is under way.
func (c *call) shedsByCost() bool {
	return c.d.Shedding.ByCost != nil && c.service.Engine != nil && c.request.Model != "" && !c.underWay() && c.d.Shedding.ByCost()
}

// shedByCost returns the runner to which the request is to be sent now or after a delay, or a refusal. It returns neither if the
// context ends meanwhile.
func (c *call) shedByCost(ctx context.Context, needs requirements) (choice, *refusal.Refusal) {
	c.shed.decided = true
	for {
		r := c.sheddingRequest()
		d := c.d.Shedding.Shedder.Decide(r, c.supply(needs), rand.Float64, c.d.Clock.Now())
		if d.Action == shedding.Send {
			return c.pick, nil
		}
		c.recordShed(d)
		if d.Action == shedding.Refuse {
			return c.pick, refusal.New(http.StatusServiceUnavailable, refusal.TooLate, "the runners are too busy to answer in time").
				WithRetryAfter(d.For)
		}
		uncanceled := pause.For(ctx, c.d.Clock, d.For)
		c.shed.delay = c.d.Clock.Now().Sub(c.shed.delayedAt)
		if uncanceled {
			c.pick = c.d.Tracker.choose(c.d.Roster(), needs, c.d.Clock.Now())
		}
		stopping := c.d.Shedding.Stopping != nil && c.d.Shedding.Stopping()
		if !uncanceled || stopping || c.pick.runner == nil {
			c.d.Shedding.Shedder.Abandon(r)
		}
		switch {
		case !uncanceled:
			return choice{}, nil
		case c.pick.runner == nil:
			return c.pick, c.noRunnerRefusal(needs)
		case stopping:
			return c.pick, nil
		}
	}
}

func (c *call) sheddingRequest() shedding.Request {
	r := shedding.Request{
		Service:   c.service.Name,
		Model:     c.request.Model,
		Rank:      c.rank,
		First:     c.rank <= c.service.FirstPriority,
		Objective: c.route.Objective,
		Left:      c.deadline.Sub(c.d.Clock.Now()),
		Work:      c.work(),
	}
	if !c.shed.delayedAt.IsZero() {
		r.Waited = max(c.shed.delay, 1)
	}
	return r
}

// work returns the estimated work of the request in tokens.
func (c *call) work() float64 { return shedding.Work(c.request.PromptTokens, c.request.MaxTokens) }

// supply returns the state of the runners as of the last choice.
func (c *call) supply(needs requirements) shedding.Supply {
	supply := shedding.Supply{
		Wait:       c.pick.score,
		Throughput: c.pick.supply.Throughput,
		Occupied:   c.pick.supply.Occupied,
		Capacity:   c.pick.supply.Capacity,
		Slots:      c.pick.supply.Slots,
		Relief:     c.loadTime(needs.model),
	}
	if needs.limit > 0 {
		supply.Demand = c.pick.demand
	}
	return supply
}

// recordShed notes and counts a refusal, or the first delay of a request.
func (c *call) recordShed(d shedding.Decision) {
	if !c.shed.delayedAt.IsZero() {
		return
	}
	c.shed.reason = d.Reason
	if d.Action == shedding.Delay {
		c.shed.delayedAt = c.d.Clock.Now()
	}
	c.d.Metrics.requestShed(c.service.Name, c.rank, d)
}

// recordServed records the work of an answered request.
func (c *call) recordServed(took time.Duration) {
	if c.shed.decided {
		c.d.Shedding.Shedder.RecordServed(c.service.Name, c.work(), took, c.d.Clock.Now())
	}
}

// shedAttributes returns the log attributes of a request on which the shedder has decided.
func (c *call) shedAttributes() []slog.Attr {
	if !c.shed.decided {
		return nil
	}
	attrs := []slog.Attr{slog.Int("Rank", c.rank), slog.Int64("DelayedMS", c.shed.delay.Milliseconds())}
	if c.shed.reason != "" {
		attrs = append(attrs, slog.String("Shed", string(c.shed.reason)))
	}
	return attrs
}
