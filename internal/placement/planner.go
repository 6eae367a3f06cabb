package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// targetUse is the part of a replica's slots that demand should fill.
	targetUse = 0.6
	// raiseHold and dropHold are for how long demand must call for a change before it is made.
	raiseHold = 3 * time.Second
	dropHold  = 2 * time.Minute
	// gainHorizon is over how long a move's gain is counted against its price.
	gainHorizon = time.Minute
	// maxMoves bounds how many orders one plan asks for.
	maxMoves = 16
)

// The reasons for moves, as they are explained to operators.
const (
	whyFloor   = "Floor"
	whyDemand  = "Demand"
	whySurplus = "Surplus"
	whyRoom    = "RoomForFloor"
	whyBurst   = "RoomForDemand"
)

// Planner plans for one shard and remembers for how long demand has called for a change.
type Planner struct {
	// eager acts on every change of demand at once, and frees memory that nobody asks for.
	eager   bool
	raised  map[string]time.Time
	dropped map[string]time.Time
}

// New returns a planner that remembers nothing.
func New() *Planner {
	return &Planner{
		raised:  make(map[string]time.Time),
		dropped: make(map[string]time.Time),
	}
}

// NewEager returns a planner without patience, against which the hysteresis of the others is measured.
func NewEager() *Planner {
	p := New()
	p.eager = true
	return p
}

// Plan returns the orders to give now, the most needed first.
func (p *Planner) Plan(now time.Time, in Input) []Move {
	s := newSketch(in)
	for _, want := range in.Wants {
		p.note(now, want, s)
	}
	p.floors(s)
	p.demand(now, s)
	p.surplus(now, s)
	return s.moves
}

// note starts or clears the timers of a model.
func (p *Planner) note(now time.Time, want Want, s *sketch) {
	have, need := s.replicas(want.Model), s.needed(want)
	hold(p.raised, want.Model, need > have, now)
	hold(p.dropped, want.Model, need < have, now)
}

func hold(since map[string]time.Time, model string, holds bool, now time.Time) {
	if !holds {
		delete(since, model)
		return
	}
	if _, ok := since[model]; !ok {
		since[model] = now
	}
}

func (p *Planner) held(since map[string]time.Time, model string, now time.Time, least time.Duration) bool {
	began, ok := since[model]
	if p.eager {
		return ok
	}
	return ok && now.Sub(began) >= least
}

// floors brings every model up to its floor, making room at the cost of surplus replicas where there is none.
func (p *Planner) floors(s *sketch) {
	for _, want := range s.ordered(func(w Want) float64 { return float64(w.Floor - s.replicas(w.Model)) }) {
		for s.replicas(want.Model) < max(want.Floor, keepOne(want)) {
			if !s.load(want, whyFloor) {
				s.makeRoom(want, whyRoom, math.Inf(1))
				break
			}
		}
	}
}

// keepOne is 1 for a model whose anchor is here, whatever the preset says.
func keepOne(want Want) int {
	if want.Keep && want.Floor > 0 {
		return 1
	}
	return 0
}

// demand adds a replica where demand has outgrown the present ones for long enough to pay for the move.
func (p *Planner) demand(now time.Time, s *sketch) {
	for _, want := range s.ordered(func(w Want) float64 { return s.shortfall(w) }) {
		gain := s.shortfall(want) * gainHorizon.Seconds()
		if gain <= s.in.MovePrice || !(p.eager || s.relieves(want)) || !p.held(p.raised, want.Model, now, raiseHold+s.in.LoadTime/2) {
			continue
		}
		if !s.load(want, whyDemand) {
			s.makeRoom(want, whyBurst, gain-s.in.MovePrice)
		}
	}
}

// surplus frees memory only under pressure: a replica that costs nothing to keep is not worth a move.
func (p *Planner) surplus(now time.Time, s *sketch) {
	if !s.crowded() && !p.eager {
		return
	}
	for _, want := range s.in.Wants {
		if p.held(p.dropped, want.Model, now, dropHold) && s.replicas(want.Model) > max(s.needed(want), want.Floor) {
			s.unload(want, whySurplus)
		}
	}
}

// ordered returns the wants whose score is above 0, highest first.
func (s *sketch) ordered(score func(Want) float64) []Want {
	type scored struct {
		want  Want
		score float64
	}
	var list []scored
	for _, want := range s.in.Wants {
		if v := score(want); v > 0 {
			list = append(list, scored{want: want, score: v})
		}
	}
	slices.SortStableFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.want.Model, b.want.Model))
	})
	wants := make([]Want, 0, len(list))
	for _, item := range list {
		wants = append(wants, item.want)
	}
	return wants
}
