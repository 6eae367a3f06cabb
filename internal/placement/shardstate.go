package placement

import (
	"math"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// memoryPressureShare is the fraction of memory in use above which surplus replicas are unloaded.
const memoryPressureShare = 0.9

// reliefShare is how busy a runner may be, relative to the average of those that have the model, to be worth loading
// another replica on.
const reliefShare = 0.8

// crossDomainLoss is the fraction of calls that suffer from being answered in another failure domain.
const crossDomainLoss = 0.05

// shardState is the projected state of a shard after the moves chosen so far. A load reserves its memory at once; an
// unload frees none until a report shows it.
type shardState struct {
	in            Input
	runners       map[string]*runnerState
	runnerNames   []string
	replicaCounts map[string]int
	// stableCounts counts the replicas that serve and that no open order can unload.
	stableCounts map[string]int
	loads        int
	moves        []Move
	// unloaded has the replicas that this plan already unloads.
	unloaded map[replicaKey]bool
}

type replicaKey struct {
	runner      string
	accelerator int
	model       string
}

type runnerState struct {
	runner Runner
	// busySlots is how many slots the demand occupies, if each model's calls are spread evenly over its replicas.
	busySlots float64
	// freeBytes is the free memory of each accelerator.
	freeBytes []int64
	// models has the models that are on the runner or that an order may still load or unload.
	models map[string]bool
}

func newShardState(in Input) *shardState {
	s := &shardState{
		in:            in,
		runners:       make(map[string]*runnerState, len(in.Runners)),
		replicaCounts: make(map[string]int),
		stableCounts:  make(map[string]int),
		unloaded:      make(map[replicaKey]bool),
	}
	for _, runner := range in.Runners {
		s.addRunner(runner)
	}
	s.spreadDemand()
	return s
}

// spreadDemand sets the busy slots of each runner.
func (s *shardState) spreadDemand() {
	for _, target := range s.in.Targets {
		n := s.replicaCounts[target.Model]
		if n == 0 {
			continue
		}
		slots := target.CallsPerSecond * target.AnswerTime.Seconds() / float64(n)
		for _, r := range s.runners {
			if r.models[target.Model] {
				r.busySlots += slots
			}
		}
	}
}

// wouldRelieve reports whether the least busy runner without the model is clearly less busy than those that have it. If
// all runners are equally busy, another replica doesn't increase the number of answered calls.
func (s *shardState) wouldRelieve(target Target) bool {
	hostBusySlots, hosts := 0.0, 0
	leastBusy := math.Inf(1)
	for _, name := range s.runnerNames {
		r := s.runners[name]
		switch {
		case r.models[target.Model]:
			hostBusySlots += r.busySlots
			hosts++
		case !r.runner.Leaving:
			leastBusy = min(leastBusy, r.busySlots)
		}
	}
	return hosts == 0 || leastBusy < reliefShare*hostBusySlots/float64(hosts)
}

func (s *shardState) addRunner(runner Runner) {
	r := &runnerState{
		runner: runner,
		models: make(map[string]bool),
	}
	s.runners[runner.Name] = r
	s.runnerNames = append(s.runnerNames, runner.Name)
	for _, memory := range runner.Accelerators {
		r.freeBytes = append(r.freeBytes, memory.FreeBytes())
		for model, status := range memory.Models {
			r.models[model] = true
			if runner.Leaving || status.Unloading {
				continue
			}
			s.replicaCounts[model]++
			if status.Stable() {
				s.stableCounts[model]++
			}
		}
	}
}

// replicas returns how many replicas are loaded or will be, without those on leaving runners or with an open unload.
func (s *shardState) replicas(model string) int { return s.replicaCounts[model] }

// neededReplicas returns how many replicas the floor and the demand require, at most one for each runner.
func (s *shardState) neededReplicas(target Target) int {
	slots := s.slotsPerReplica()
	if slots == 0 {
		return target.Floor
	}
	busySlots := target.CallsPerSecond * target.AnswerTime.Seconds()
	return min(max(target.Floor, int(math.Ceil(busySlots/(targetUtilization*slots)))), len(s.in.Runners))
}

// shortfall returns the calls per second that exceed the capacity of the current replicas at the target utilization. If
// the shard has no replica but another failure domain serves the model, only the calls that suffer from being answered
// there count.
func (s *shardState) shortfall(target Target) float64 {
	if s.neededReplicas(target) <= s.replicas(target.Model) || target.AnswerTime <= 0 {
		return 0
	}
	capacity := float64(s.replicas(target.Model)) * targetUtilization * s.slotsPerReplica() / target.AnswerTime.Seconds()
	missing := max(0, target.CallsPerSecond-capacity)
	if target.ServedByOtherDomain && s.replicas(target.Model) == 0 {
		return crossDomainLoss * missing
	}
	return missing
}

func (s *shardState) slotsPerReplica() float64 {
	sum := 0
	for _, runner := range s.in.Runners {
		sum += runner.Slots
	}
	return float64(sum) / float64(max(len(s.in.Runners), 1))
}

func (s *shardState) underMemoryPressure() bool {
	var freeBytes, totalBytes int64
	for _, runner := range s.in.Runners {
		for _, memory := range runner.Accelerators {
			freeBytes += memory.FreeBytes()
			totalBytes += memory.CapacityBytes
		}
	}
	return float64(totalBytes-freeBytes) > memoryPressureShare*float64(totalBytes)
}

// load adds a replica on the best accelerator of a runner without one; it returns false if none has enough memory.
func (s *shardState) load(target Target, reason string) bool {
	var best *runnerState
	accelerator := -1
	for _, name := range s.runnerNames {
		r := s.runners[name]
		if r.runner.Leaving || r.models[target.Model] {
			continue
		}
		for i, freeBytes := range r.freeBytes {
			if freeBytes >= target.Bytes && (best == nil || betterForLoad(r, i, best, accelerator, reason)) {
				best, accelerator = r, i
			}
		}
	}
	if best == nil {
		return false
	}
	if s.loads >= s.in.MaxLoads || len(s.moves) >= maxMoves {
		// There is enough memory, but the load has to wait until the limit on loads or moves allows it.
		s.replicaCounts[target.Model]++
		return true
	}
	best.freeBytes[accelerator] -= target.Bytes
	best.models[target.Model] = true
	s.replicaCounts[target.Model]++
	s.loads++
	s.moves = append(s.moves, Move{
		Action:      endpoint.Load,
		Model:       target.Model,
		Bytes:       target.Bytes,
		Runner:      best.runner.Name,
		Accelerator: accelerator,
		Why:         reason,
	})
	return true
}

// betterForLoad reports whether an accelerator suits a load better than the current choice: if demand is the reason, the
// less busy runner wins, and otherwise the accelerator with more free memory.
func betterForLoad(r *runnerState, accelerator int, current *runnerState, currentAccelerator int, reason string) bool {
	if reason == reasonDemand && r.busySlots != current.busySlots {
		return r.busySlots < current.busySlots
	}
	return r.freeBytes[accelerator] > current.freeBytes[currentAccelerator]
}

// makeRoom unloads a replica of the model with the smallest loss, if that is below maxLoss. A later plan loads the
// target once a report shows the memory as free.
func (s *shardState) makeRoom(target Target, reason string, maxLoss float64) {
	var victim Target
	leastLoss := maxLoss
	for _, other := range s.in.Targets {
		if other.Model == target.Model || !s.removable(other) {
			continue
		}
		if loss := s.loss(other); loss < leastLoss {
			victim, leastLoss = other, loss
		}
	}
	if victim.Model != "" {
		s.unload(victim, reason)
	}
}

// removable reports whether a replica of a model may be unloaded: the model is above its floor and has a stable replica,
// and a second one if the last must stay.
func (s *shardState) removable(target Target) bool {
	if s.replicas(target.Model) <= target.Floor {
		return false
	}
	if target.KeepLast {
		return s.stableCounts[target.Model] > 1
	}
	return s.stableCounts[target.Model] > 0
}

// loss returns how many calls would miss their objective over gainHorizon with one replica less.
func (s *shardState) loss(target Target) float64 {
	if target.AnswerTime <= 0 {
		return 0
	}
	remaining := float64(s.replicas(target.Model)-1) * targetUtilization * s.slotsPerReplica() / target.AnswerTime.Seconds()
	return max(0, target.CallsPerSecond-remaining) * gainHorizon.Seconds()
}

// unload removes a stable replica from the accelerator with the least free memory.
func (s *shardState) unload(target Target, reason string) {
	if len(s.moves) >= maxMoves || !s.removable(target) {
		return
	}
	runner, accelerator := s.fullestRunner(target.Model)
	if runner == "" {
		return
	}
	s.unloaded[replicaKey{runner: runner, accelerator: accelerator, model: target.Model}] = true
	s.replicaCounts[target.Model]--
	s.stableCounts[target.Model]--
	s.moves = append(s.moves, Move{
		Action:      endpoint.Unload,
		Model:       target.Model,
		Runner:      runner,
		Accelerator: accelerator,
		Why:         reason,
	})
}

// fullestRunner returns the runner and accelerator with the least free memory among those with a stable replica of a
// model that this plan doesn't unload yet.
func (s *shardState) fullestRunner(model string) (string, int) {
	name, accelerator := "", -1
	var leastFree int64 = math.MaxInt64
	for _, runner := range s.in.Runners {
		for i, memory := range runner.Accelerators {
			status, ok := memory.Models[model]
			unloaded := s.unloaded[replicaKey{runner: runner.Name, accelerator: i, model: model}]
			if ok && !unloaded && status.Stable() && memory.FreeBytes() < leastFree {
				name, accelerator, leastFree = runner.Name, i, memory.FreeBytes()
			}
		}
	}
	return name, accelerator
}
