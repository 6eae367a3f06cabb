package placement

import (
	"math"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// crowdedShare is the part of the memory above which surplus replicas are freed.
const crowdedShare = 0.9

// relief is how busy a runner may be, as a part of those that serve a model already, to be worth a further replica.
const relief = 0.8

// crossingLoss is the part of the calls that are worse off for being answered in another failure domain.
const crossingLoss = 0.05

// sketch is the shard as it will be after the moves chosen so far. A load takes its memory at once; an unload frees none
// until a report shows it.
type sketch struct {
	in      Input
	runners map[string]*runnerSketch
	order   []string
	counts  map[string]int
	certain map[string]int
	loads   int
	moves   []Move
	// unloaded is the replicas that moves of this plan take off already.
	unloaded map[place]bool
}

type place struct {
	runner      string
	accelerator int
	model       string
}

type runnerSketch struct {
	runner Runner
	// busy is the slots that the demand on its replicas takes, if each model's is spread evenly.
	busy   float64
	free   []int64
	models map[string]bool
}

func newSketch(in Input) *sketch {
	s := &sketch{
		in:       in,
		runners:  make(map[string]*runnerSketch, len(in.Runners)),
		counts:   make(map[string]int),
		certain:  make(map[string]int),
		unloaded: make(map[place]bool),
	}
	for _, runner := range in.Runners {
		s.add(runner)
	}
	s.spread()
	return s
}

// spread works out how busy the demand makes each runner.
func (s *sketch) spread() {
	for _, want := range s.in.Wants {
		n := s.counts[want.Model]
		if n == 0 {
			continue
		}
		part := want.CallsPerSecond * want.AnswerTime.Seconds() / float64(n)
		for _, r := range s.runners {
			if r.models[want.Model] {
				r.busy += part
			}
		}
	}
}

// relieves reports whether the least busy runner without a replica of a model, and with room for one, is clearly less
// busy than those that have one: where all are alike busy, one more replica answers no more calls.
func (s *sketch) relieves(want Want) bool {
	hosts, n := 0.0, 0
	least := math.Inf(1)
	for _, name := range s.order {
		r := s.runners[name]
		switch {
		case r.models[want.Model]:
			hosts += r.busy
			n++
		case !r.runner.Leaving:
			least = min(least, r.busy)
		}
	}
	return n == 0 || least < relief*hosts/float64(n)
}

func (s *sketch) add(runner Runner) {
	r := &runnerSketch{
		runner: runner,
		models: make(map[string]bool),
	}
	s.runners[runner.Name] = r
	s.order = append(s.order, runner.Name)
	for _, account := range runner.Accounts {
		r.free = append(r.free, account.FreeBytes())
		for model, status := range account.Models {
			r.models[model] = true
			if runner.Leaving || status.Unloading {
				continue
			}
			s.counts[model]++
			if status.Certain() {
				s.certain[model]++
			}
		}
	}
}

// replicas returns how many replicas there are or will be, without those that may be going.
func (s *sketch) replicas(model string) int { return s.counts[model] }

// needed returns how many replicas floor and demand call for.
func (s *sketch) needed(want Want) int {
	slots := s.slotsPerReplica()
	if slots == 0 {
		return want.Floor
	}
	busy := want.CallsPerSecond * want.AnswerTime.Seconds()
	return min(max(want.Floor, int(math.Ceil(busy/(targetUse*slots)))), len(s.in.Runners))
}

// shortfall returns the calls a second that the present replicas can't take at the target use.
func (s *sketch) shortfall(want Want) float64 {
	if s.needed(want) <= s.replicas(want.Model) || want.AnswerTime <= 0 {
		return 0
	}
	capacity := float64(s.replicas(want.Model)) * targetUse * s.slotsPerReplica() / want.AnswerTime.Seconds()
	short := max(0, want.CallsPerSecond-capacity)
	if want.Elsewhere && s.replicas(want.Model) == 0 {
		return crossingLoss * short
	}
	return short
}

func (s *sketch) slotsPerReplica() float64 {
	sum := 0
	for _, runner := range s.in.Runners {
		sum += runner.Slots
	}
	return float64(sum) / float64(max(len(s.in.Runners), 1))
}

func (s *sketch) crowded() bool {
	var free, all int64
	for _, runner := range s.in.Runners {
		for _, account := range runner.Accounts {
			free += account.FreeBytes()
			all += account.CapacityBytes
		}
	}
	return float64(all-free) > crowdedShare*float64(all)
}

// load adds a replica at the accelerator with the most room on a runner that has none, or reports that there is no room.
func (s *sketch) load(want Want, why string) bool {
	var best *runnerSketch
	at := -1
	for _, name := range s.order {
		r := s.runners[name]
		if r.runner.Leaving || r.models[want.Model] {
			continue
		}
		for i, free := range r.free {
			if free >= want.Bytes && (best == nil || better(r, i, best, at, why)) {
				best, at = r, i
			}
		}
	}
	if best == nil {
		return false
	}
	if s.loads >= s.in.MaxLoads || len(s.moves) >= maxMoves {
		// There is room, and the load must wait for its turn at the weight store.
		s.counts[want.Model]++
		return true
	}
	best.free[at] -= want.Bytes
	best.models[want.Model] = true
	s.counts[want.Model]++
	s.loads++
	s.moves = append(s.moves, Move{
		Action:      endpoint.Load,
		Model:       want.Model,
		Bytes:       want.Bytes,
		Runner:      best.runner.Name,
		Accelerator: at,
		Why:         why,
	})
	return true
}

// better reports whether one accelerator suits a load more than another: for demand on the less busy runner, and
// otherwise where there is more room.
func better(r *runnerSketch, i int, than *runnerSketch, at int, why string) bool {
	if why == whyDemand && r.busy != than.busy {
		return r.busy < than.busy
	}
	return r.free[i] > than.free[at]
}

// makeRoom unloads the replica that is least worth keeping, if its loss is below worth. The load follows once a
// report shows the memory free.
func (s *sketch) makeRoom(want Want, why string, worth float64) {
	var victim Want
	least := worth
	for _, other := range s.in.Wants {
		if other.Model == want.Model || !s.spare(other) {
			continue
		}
		if loss := s.loss(other); loss < least {
			victim, least = other, loss
		}
	}
	if victim.Model != "" {
		s.unload(victim, why)
	}
}

// spare reports whether a replica of a model can go: above the floor, and with another one that serves for certain.
func (s *sketch) spare(want Want) bool {
	if s.replicas(want.Model) <= want.Floor {
		return false
	}
	if want.Keep {
		return s.certain[want.Model] > 1
	}
	return s.certain[want.Model] > 0
}

// loss returns the attained answers that one replica less costs over the horizon.
func (s *sketch) loss(want Want) float64 {
	if want.AnswerTime <= 0 {
		return 0
	}
	left := float64(s.replicas(want.Model)-1) * targetUse * s.slotsPerReplica() / want.AnswerTime.Seconds()
	return max(0, want.CallsPerSecond-left) * gainHorizon.Seconds()
}

// unload takes a certain replica off the fullest runner that has one.
func (s *sketch) unload(want Want, why string) {
	if len(s.moves) >= maxMoves || !s.spare(want) {
		return
	}
	runner, at := s.fullest(want.Model)
	if runner == "" {
		return
	}
	s.unloaded[place{runner: runner, accelerator: at, model: want.Model}] = true
	s.counts[want.Model]--
	s.certain[want.Model]--
	s.moves = append(s.moves, Move{
		Action:      endpoint.Unload,
		Model:       want.Model,
		Runner:      runner,
		Accelerator: at,
		Why:         why,
	})
}

func (s *sketch) fullest(model string) (string, int) {
	name, at := "", -1
	var least int64 = math.MaxInt64
	for _, runner := range s.in.Runners {
		for i, account := range runner.Accounts {
			status, ok := account.Models[model]
			taken := s.unloaded[place{runner: runner.Name, accelerator: i, model: model}]
			if ok && !taken && status.Certain() && account.FreeBytes() < least {
				name, at, least = runner.Name, i, account.FreeBytes()
			}
		}
	}
	return name, at
}
