package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// targetUtilization is the fraction of a replica's slots that demand should fill.
	targetUtilization = 0.6
	// scaleUpDelay and scaleDownDelay are how long demand must call for a change before it is made. Half of a load's
	// duration is added to scaleUpDelay.
	scaleUpDelay   = 3 * time.Second
	scaleDownDelay = 2 * time.Minute
	// gainHorizon is the period over which a move's gain is counted against its price.
	gainHorizon = time.Minute
	// maxMoves limits the moves of one plan.
	maxMoves = 16
)

// The reasons for moves, as shown to operators.
const (
	reasonFloor         = "Floor"
	reasonDemand        = "Demand"
	reasonSurplus       = "Surplus"
	reasonRoomForFloor  = "RoomForFloor"
	reasonRoomForDemand = "RoomForDemand"
)

// Planner plans the moves of one shard and remembers since when demand has called for a change.
type Planner struct {
	// eager acts on every change of demand at once, and unloads surplus replicas without memory pressure.
	eager bool
	// shortSince and surplusSince are since when a model has had too few or too many replicas.
	shortSince   map[string]time.Time
	surplusSince map[string]time.Time
}

// New returns a planner without history.
func New() *Planner {
	return &Planner{
		shortSince:   make(map[string]time.Time),
		surplusSince: make(map[string]time.Time),
	}
}

// NewEager returns a planner without hysteresis, as a baseline for measuring what the hysteresis gains.
func NewEager() *Planner {
	p := New()
	p.eager = true
	return p
}

// Plan returns the moves to make now, the most urgent first.
func (p *Planner) Plan(now time.Time, in Input) []Move {
	s := newShardState(in)
	for _, target := range in.Targets {
		p.updateTimers(now, target, s)
	}
	p.meetFloors(s)
	p.meetDemand(now, s)
	p.removeSurplus(now, s)
	return s.moves
}

// updateTimers starts or clears the shortage and surplus timers of a model.
func (p *Planner) updateTimers(now time.Time, target Target, s *shardState) {
	current, needed := s.replicas(target.Model), s.neededReplicas(target)
	setTimer(p.shortSince, target.Model, needed > current, now)
	setTimer(p.surplusSince, target.Model, needed < current, now)
}

func setTimer(since map[string]time.Time, model string, active bool, now time.Time) {
	if !active {
		delete(since, model)
		return
	}
	if _, ok := since[model]; !ok {
		since[model] = now
	}
}

// lasted reports whether a condition has held for minDuration; for an eager planner it is enough that it holds now.
func (p *Planner) lasted(since map[string]time.Time, model string, now time.Time, minDuration time.Duration) bool {
	start, ok := since[model]
	if p.eager {
		return ok
	}
	return ok && now.Sub(start) >= minDuration
}

// meetFloors loads replicas until every model has its minimum, unloading replicas of other models where memory is short.
func (p *Planner) meetFloors(s *shardState) {
	for _, target := range s.byScore(func(t Target) float64 { return float64(t.Floor - s.replicas(t.Model)) }) {
		for s.replicas(target.Model) < max(target.Floor, anchorMinimum(target)) {
			if !s.load(target, reasonFloor) {
				s.makeRoom(target, reasonRoomForFloor, math.Inf(1))
				break
			}
		}
	}
}

// anchorMinimum returns 1 for a model that has a floor and whose last replica must stay here, and 0 otherwise.
func anchorMinimum(target Target) int {
	if target.KeepLast && target.Floor > 0 {
		return 1
	}
	return 0
}

// meetDemand adds a replica for each model whose demand has exceeded its replicas long enough and by enough calls to
// outweigh the price of the move.
func (p *Planner) meetDemand(now time.Time, s *shardState) {
	for _, target := range s.byScore(func(t Target) float64 { return s.shortfall(t) }) {
		gain := s.shortfall(target) * gainHorizon.Seconds()
		if gain <= s.in.MovePrice || !(p.eager || s.wouldRelieve(target)) ||
			!p.lasted(p.shortSince, target.Model, now, scaleUpDelay+s.in.LoadTime/2) {
			continue
		}
		if !s.load(target, reasonDemand) {
			s.makeRoom(target, reasonRoomForDemand, gain-s.in.MovePrice)
		}
	}
}

// removeSurplus unloads surplus replicas under memory pressure only: otherwise keeping them costs nothing.
func (p *Planner) removeSurplus(now time.Time, s *shardState) {
	if !s.underMemoryPressure() && !p.eager {
		return
	}
	for _, target := range s.in.Targets {
		if p.lasted(p.surplusSince, target.Model, now, scaleDownDelay) &&
			s.replicas(target.Model) > max(s.neededReplicas(target), target.Floor) {
			s.unload(target, reasonSurplus)
		}
	}
}

// byScore returns the targets whose score is above 0, highest first.
func (s *shardState) byScore(score func(Target) float64) []Target {
	type scored struct {
		target Target
		score  float64
	}
	var list []scored
	for _, target := range s.in.Targets {
		if v := score(target); v > 0 {
			list = append(list, scored{target: target, score: v})
		}
	}
	slices.SortStableFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.target.Model, b.target.Model))
	})
	targets := make([]Target, 0, len(list))
	for _, item := range list {
		targets = append(targets, item.target)
	}
	return targets
}
