package quarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

// The parts of simulated prompts.
const (
	deadly         = "deadly"
	firstSections  = 3
	secondSections = 70
)

// placement says where the deadly section is in a prompt.
type placement string

const (
	first    placement = "First"
	middle   placement = "Middle"
	replaces placement = "ReplacesSecond"
)

// scenario describes one simulated run.
type scenario struct {
	seed    uint64
	vms     int
	runners int
	// rate is the number of requests per second, share that of requests with the deadly section from deadlyFrom on.
	rate       float64
	share      float64
	placement  placement
	deadlyFrom time.Duration
	length     time.Duration
	// massCrashes, vmResets and breakOffs are further faults: a third of the runners crash every massCrashes, the connections of
	// one VM are reset every vmResets, and a share of the requests breaks off.
	massCrashes time.Duration
	vmResets    time.Duration
	breakOffs   float64
	// crashAfter is how long after the first data of its answer a request with the deadly section ends its runner, 0 if before any;
	// dataLost is the share of these requests whose data is lost, because the end of the runner resets their connection.
	crashAfter time.Duration
	dataLost   float64
}

// outcome is what a run led to.
type outcome struct {
	crashes     int
	fifthCrash  time.Duration
	convictedAt time.Duration
	// after counts the requests with the deadly section that reached runners later than 4 s after the fifth crash.
	after int
	// wronged holds the convictions of other sections, stillWronged those in force at the end.
	wronged      []string
	stillWronged int
	served       int
	sent         int
}

const (
	// answerTime is the mean time that a runner takes to send an answer, eventPause the time between two parts of one.
	answerTime = 1200 * time.Millisecond
	eventPause = 100 * time.Millisecond
)

// simRunner is a runner; pending holds the requests that it has not answered whole.
type simRunner struct {
	name        string
	incarnation int64
	down        bool
	crashedAt   time.Duration
	pending     []*simRequest
}

type simRequest struct {
	vm          *simVM
	sections    []string
	hasDeadly   bool
	runner      *simRunner
	incarnation int64
	// progress is what the VM knows of the answer; reported says which successes it was reported as, those that are proven or not.
	progress quarantine.Progress
	reported map[bool]bool
	// delay is the time that data takes between the VM and the runner.
	delay   time.Duration
	sentAt  time.Duration
	retried bool
}

// simVM is an entry VM with the holder's last broadcast.
type simVM struct {
	delay       time.Duration
	watched     map[string]bool
	suspects    map[string]bool
	quarantined map[string]bool
	reported    map[string]time.Duration
}

// simulation runs a scenario; the first VM holds the lease.
type simulation struct {
	scenario
	random    *rand.Rand
	now       time.Duration
	agenda    agenda
	steps     int
	runners   []*simRunner
	vms       []*simVM
	detector  *quarantine.Detector
	convicted map[string]bool
	pushed    string
	outcome   outcome
}

func simulate(s scenario) outcome {
	sim := &simulation{
		scenario:  s,
		random:    rand.New(rand.NewPCG(s.seed, 7)),
		detector:  quarantine.NewDetector(),
		convicted: make(map[string]bool),
	}
	for i := range s.runners {
		sim.runners = append(sim.runners, &simRunner{name: fmt.Sprintf("r%d", i)})
	}
	for i := range s.vms {
		vm := &simVM{reported: make(map[string]time.Duration)}
		if i > 0 {
			vm.delay = time.Duration(sim.random.Int64N(int64(130 * time.Millisecond)))
		}
		sim.vms = append(sim.vms, vm)
	}
	sim.after(0, sim.arrive)
	sim.after(time.Second, sim.findLiving)
	sim.after(s.massCrashes, sim.massCrash)
	sim.after(s.vmResets, sim.resetVM)
	for len(sim.agenda) > 0 && sim.agenda[0].at < s.length {
		next := heap.Pop(&sim.agenda).(step)
		sim.now = next.at
		next.run()
	}
	sim.outcome.stillWronged = len(sim.convicted)
	if sim.convicted[deadly] {
		sim.outcome.stillWronged--
	}
	return sim.outcome
}

// exp returns an exponentially distributed time.
func (s *simulation) exp(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

func (s *simulation) arrive() {
	s.after(s.exp(time.Duration(float64(time.Second)/s.rate)), s.arrive)
	popular := fmt.Sprintf("first-%d", min(s.random.IntN(2*firstSections), firstSections-1))
	second := fmt.Sprintf("second-%d", s.random.IntN(secondSections))
	r := &simRequest{
		vm:       s.vms[s.random.IntN(len(s.vms))],
		sections: []string{popular, second},
	}
	if s.now >= s.deadlyFrom && s.random.Float64() < s.share {
		r.hasDeadly = true
		switch s.placement {
		case first:
			r.sections = []string{deadly, popular, second}
		case middle:
			r.sections = []string{popular, deadly, second}
		case replaces:
			r.sections = []string{popular, deadly}
		}
	}
	s.send(r)
}

func anyOf(sections []string, set map[string]bool) bool {
	for _, section := range sections {
		if set[section] {
			return true
		}
	}
	return false
}

// send sends a request to a runner that the VM believes to be up.
func (s *simulation) send(r *simRequest) {
	if anyOf(r.sections, r.vm.quarantined) {
		return
	}
	delay := time.Duration(s.random.Int64N(int64(65 * time.Millisecond)))
	var usable []*simRunner
	for _, runner := range s.runners {
		if !runner.down || s.now-runner.crashedAt < delay {
			usable = append(usable, runner)
		}
	}
	if len(usable) == 0 {
		return
	}
	r.runner = usable[s.random.IntN(len(usable))]
	r.incarnation, r.sentAt = r.runner.incarnation, s.now
	r.delay = delay
	r.progress, r.reported = quarantine.NewProgress(start.Add(s.now)), make(map[bool]bool)
	s.outcome.sent++
	if r.runner.down {
		s.after(2*delay, func() { s.brokeOff(r) })
		return
	}
	if r.hasDeadly && s.outcome.crashes >= 5 && s.now > s.outcome.fifthCrash+4*time.Second {
		s.outcome.after++
	}
	r.runner.pending = append(r.runner.pending, r)
	if s.random.Float64() < s.breakOffs {
		s.after(delay+s.exp(200*time.Millisecond), func() { s.end(r, delay) })
	}
	s.after(delay+50*time.Millisecond+s.exp(300*time.Millisecond), func() { s.begin(r, delay) })
}

// end breaks a pending request off.
func (s *simulation) end(r *simRequest, delay time.Duration) {
	if r.runner.remove(r) {
		s.after(delay, func() { s.brokeOff(r) })
	}
}

// remove removes a request from those pending and reports whether it was.
func (r *simRunner) remove(request *simRequest) bool {
	i := slices.Index(r.pending, request)
	if i < 0 {
		return false
	}
	r.pending = slices.Delete(r.pending, i, i+1)
	return true
}

// begin begins the answer to a request that is still pending.
func (s *simulation) begin(r *simRequest, delay time.Duration) {
	if r.runner.incarnation != r.incarnation || !slices.Contains(r.runner.pending, r) {
		return
	}
	sentAt := r.sentAt
	if !r.hasDeadly || (s.crashAfter > 0 && s.random.Float64() >= s.dataLost) {
		s.after(delay, func() { s.received(r, sentAt) })
	}
	if r.hasDeadly {
		s.after(s.crashAfter, func() { s.crashBy(r) })
		return
	}
	s.outcome.served++
	s.after(s.exp(answerTime), func() {
		if r.sentAt == sentAt && r.runner.remove(r) {
			s.after(delay, func() {
				r.progress = r.progress.WithEnd(start.Add(s.now))
				s.succeeded(r)
			})
		}
	})
}

// received handles at the VM that data of an answer has arrived, as it goes on doing while the answer is sent.
func (s *simulation) received(r *simRequest, sentAt time.Duration) {
	r.progress = r.progress.WithData(start.Add(s.now))
	s.succeeded(r)
	s.after(eventPause, func() {
		if r.sentAt == sentAt && slices.Contains(r.runner.pending, r) {
			s.received(r, sentAt)
		}
	})
}

// crashBy ends the runner of a request with the deadly section.
func (s *simulation) crashBy(r *simRequest) {
	if r.runner.incarnation != r.incarnation || !slices.Contains(r.runner.pending, r) {
		return
	}
	s.outcome.crashes++
	if s.outcome.crashes == 5 {
		s.outcome.fifthCrash = s.now
	}
	s.crash(r.runner)
}
