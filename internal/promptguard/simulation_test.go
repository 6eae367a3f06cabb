package promptguard

import (
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// simTick is the step of the simulated time.
	simTick = time.Millisecond
	// simRate is the number of requests per second for each runner.
	simRate = 3.1
)

var seeds = flag.Int("seeds", 3, "number of seeds of each simulated scenario")

// simulation runs the guards of several VMs with links that take time, in virtual time.
type simulation struct {
	*fakeCluster
	random  *rand.Rand
	agenda  map[time.Time][]func()
	vms     []*simVM
	holder  *simVM
	runners []*simRunner
	// crashAfter is how long after the first data of its answer a request with the deadly section ends its runner, 0 if before any.
	crashAfter time.Duration
	// crashes, lateRequests and served count what happens to the requests.
	crashes      int
	fifthCrash   time.Time
	lateRequests int
	served       int
}

// simVM is a guard with its link to the lease holder.
type simVM struct {
	*Guard
	sim      *simulation
	delay    time.Duration
	link     uint64
	linkedTo *simVM
	received map[string]time.Time
}

type simRunner struct {
	roster.Runner
	down    bool
	pending []*simRequest
}

type simRequest struct {
	vm       *simVM
	progress quarantine.Progress
	// delay is the time that data takes from the runner to the VM.
	delay   time.Duration
	prompt  []dispatch.PromptSection
	deadly  bool
	sentAt  time.Time
	retried bool
}

func (v *simVM) HoldsLease() bool { return v.sim.holder == v }
func (v *simVM) Tenure() uint64   { return 1 }
func (v *simVM) LinkedToHolder() (uint64, bool) {
	return v.link, v.linkedTo != nil && v.linkedTo == v.sim.holder
}

func (v *simVM) SendEvidence(e quarantine.Evidence) {
	if to := v.linkedTo; to != nil {
		v.sim.after(v.delay, func() {
			if to == v.sim.holder {
				to.ReceiveEvidence(e)
			}
		})
	}
}

func (v *simVM) BroadcastQuarantine(s quarantine.Status) {
	for _, other := range v.sim.vms {
		if other.linkedTo == v {
			v.sim.after(other.delay, func() { other.ReceiveStatus(s) })
		}
	}
}

func newSimulation(t *testing.T, vms, runners int, seed uint64) *simulation {
	s := &simulation{
		fakeCluster: &fakeCluster{
			t:      t,
			clock:  clockwork.NewFakeClock(),
			stored: make(map[string]quarantine.Entry),
		},
		random: rand.New(rand.NewPCG(seed, 3)),
		agenda: make(map[time.Time][]func()),
	}
	for range vms {
		s.startVM()
	}
	for i := range runners {
		s.runners = append(s.runners, &simRunner{Runner: roster.Runner{ID: fmt.Sprintf("r%d", i)}})
	}
	s.electHolder()
	s.arrive()
	return s
}

func (s *simulation) startVM() {
	v := &simVM{
		sim:      s,
		delay:    s.between(0, 130*time.Millisecond),
		received: make(map[string]time.Time),
	}
	v.Guard = New(Dependencies{
		Peers:        v,
		Store:        s,
		Roster:       roster.New().View,
		LastReceived: func(runner string) time.Time { return v.received[runner] },
		Metrics:      NewMetrics(prometheus.NewRegistry()),
		Clock:        s.clock,
		Logger:       slog.New(slog.DiscardHandler),
	})
	s.vms = append(s.vms, v)
	entries, err := s.LoadQuarantine(s.t.Context())
	require.NoError(s.t, err)
	v.applyStored(entries)
	s.every(v, 100*time.Millisecond, func() { v.publishOnce() })
	s.every(v, followInterval, func() { v.followOnce() })
	s.every(v, tickInterval, func() {
		v.runDuties()
		for section, ok := v.nextUnsaved(); ok; section, ok = v.nextUnsaved() {
			require.NoError(s.t, v.saveSection(s.t.Context(), section))
		}
	})
}

// electHolder gives the first VM the lease and links the others to it.
func (s *simulation) electHolder() {
	s.holder = s.vms[0]
	for _, v := range s.vms[1:] {
		s.after(v.delay+200*time.Millisecond, func() {
			v.link++
			v.linkedTo = s.holder
			status, evidence, to := s.holder.Status(), v.Evidence(), s.holder
			s.after(v.delay, func() {
				v.ReceiveStatus(status)
				to.ReceiveEvidence(evidence)
			})
		})
	}
}

// replaceHolder kills the VM with the lease; another one gets it two seconds later, and a new VM starts.
func (s *simulation) replaceHolder() {
	s.vms = s.vms[1:]
	s.holder = nil
	s.startVM()
	s.after(2*time.Second, s.electHolder)
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *simulation) after(d time.Duration, run func()) {
	at := s.clock.Now().Add(max(d.Round(simTick), simTick))
	s.agenda[at] = append(s.agenda[at], run)
}

// every runs a duty of a VM until the VM has gone.
func (s *simulation) every(v *simVM, interval time.Duration, run func()) {
	s.after(interval, func() {
		if slices.Contains(s.vms, v) {
			run()
			s.every(v, interval, run)
		}
	})
}

func (s *simulation) run(d time.Duration) {
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		s.clock.Advance(simTick)
		now := s.clock.Now()
		for len(s.agenda[now]) > 0 {
			next := s.agenda[now][0]
			s.agenda[now] = s.agenda[now][1:]
			next()
		}
		delete(s.agenda, now)
	}
}

func (s *simulation) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()*float64(time.Second)/simRate/float64(len(s.runners))), s.arrive)
	r := &simRequest{
		vm:     s.vms[s.random.IntN(len(s.vms))],
		deadly: s.random.IntN(10) == 0,
	}
	sections := []string{fmt.Sprintf("first-%d", s.random.IntN(3)), fmt.Sprintf("second-%d", s.random.IntN(70))}
	if r.deadly {
		sections = slices.Insert(sections, s.random.IntN(3), "deadly")
	}
	r.prompt = prompt(sections...)
	s.send(r)
}

func (s *simulation) send(r *simRequest) {
	var up []*simRunner
	for _, runner := range s.runners {
		if !runner.down {
			up = append(up, runner)
		}
	}
	if _, refused := r.vm.Quarantined(r.prompt); refused || len(up) == 0 {
		return
	}
	runner := up[s.random.IntN(len(up))]
	r.sentAt = s.clock.Now()
	r.progress, r.delay = quarantine.NewProgress(r.sentAt), s.between(0, 65*time.Millisecond)
	if r.deadly && s.crashes >= 5 && r.sentAt.Sub(s.fifthCrash) > 4*time.Second {
		s.lateRequests++
	}
	runner.pending = append(runner.pending, r)
	s.after(50*time.Millisecond+time.Duration(s.random.ExpFloat64()*float64(300*time.Millisecond)), func() { s.begin(runner, r) })
}

func (s *simulation) begin(runner *simRunner, r *simRequest) {
	if !slices.Contains(runner.pending, r) {
		return
	}
	if !r.deadly || s.crashAfter > 0 {
		s.after(r.delay, func() {
			r.vm.received[runner.ID] = s.clock.Now()
			r.progress = r.progress.WithData(s.clock.Now())
			r.vm.RecordAnswer(r.prompt, r.progress)
		})
	}
	if r.deadly {
		s.after(s.crashAfter, func() { s.crash(runner, r) })
		return
	}
	s.served++
	s.after(s.between(100*time.Millisecond, 1500*time.Millisecond), func() { s.finish(runner, r) })
}

// finish ends the answer to a request unless its runner has crashed.
func (s *simulation) finish(runner *simRunner, r *simRequest) {
	i := slices.Index(runner.pending, r)
	if i < 0 {
		return
	}
	runner.pending = slices.Delete(runner.pending, i, i+1)
	s.after(r.delay, func() {
		r.progress = r.progress.WithEnd(s.clock.Now())
		r.vm.RecordAnswer(r.prompt, r.progress)
	})
}

// crash ends the runner of a request, unless the request is no longer there.
func (s *simulation) crash(runner *simRunner, cause *simRequest) {
	if !slices.Contains(runner.pending, cause) {
		return
	}
	if s.crashes++; s.crashes == 5 {
		s.fifthCrash = s.clock.Now()
	}
	crashed := runner.Runner
	for _, r := range runner.pending {
		s.after(r.delay, func() {
			r.vm.RecordStrike(&crashed, r.prompt, r.progress, s.clock.Now())
			if !r.retried && !r.vm.Suspected(r.prompt) {
				r.retried = true
				s.send(r)
			}
		})
	}
	runner.down, runner.pending = true, nil
	s.after(s.between(2*time.Second, 5*time.Second), func() {
		runner.down = false
		runner.Incarnation++
	})
}
