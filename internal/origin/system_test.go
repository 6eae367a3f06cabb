package origin

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// system is several VMs with a log and the runners of one service.
type system struct {
	log    *memoryLog
	roster *roster.Roster
	vms    []*vm
	// count is the number of VMs that a VM knows of.
	count int
	// registered counts the calls of setReleases.
	registered uint64
	// logRestored is the state in which VMs start.
	logRestored bool
	// registrationReads counts the reads of the registrations.
	registrationReads atomic.Int64
}

// vm is one VM with a tracker; the first one of the system holds the lease.
type vm struct {
	log    *memoryLog
	holder atomic.Pointer[vm]
	// keeper is the VM to which this one, as lease holder, passes streams on.
	keeper  atomic.Pointer[vm]
	links   atomic.Uint64
	count   int
	tracker *Tracker
	stop    func()
	// cut is set while the VM reaches neither the store nor other VMs, unlinked while it has no link.
	cut      atomic.Bool
	unlinked atomic.Bool
	// outdated is what the VM knows of the runners while it is out of step, nil otherwise.
	outdated atomic.Pointer[roster.View]
	// suspended is for how long the VM was suspended.
	suspended atomic.Int64
	// logRestored is set while the VM finds that nobody has claimed the lease since the log was restored.
	logRestored atomic.Bool
	startedAt   time.Time
}

func (v *vm) HoldsLease() bool  { return v.holder.Load() == v }
func (v *vm) Links() uint64     { return v.links.Load() }
func (v *vm) LogRestored() bool { return v.logRestored.Load() }
func (v *vm) Informed() bool    { return !v.cut.Load() }
func (v *vm) VMs() int          { return v.count }

// eraNoticeTime is how long after the log was restored the lease holder has told all VMs.
const eraNoticeTime = 1500 * time.Millisecond

func (v *vm) LogEra() logservice.Era {
	if v.unlinked.Load() || v.cut.Load() {
		return 0
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	if !v.log.restoredAt.IsZero() && time.Since(v.log.restoredAt) < eraNoticeTime {
		return v.log.era - 1
	}
	return v.log.era
}

// Elapsed implements boottime.Clock.
func (v *vm) Elapsed() time.Duration {
	return time.Since(v.startedAt) + time.Duration(v.suspended.Load())
}

func (v *vm) Census(ctx context.Context) (Census, bool) {
	if v.unlinked.Load() || v.cut.Load() || v.HoldsLease() {
		return Census{}, false
	}
	return v.holder.Load().tracker.Count(ctx), true
}

func (v *vm) SendOrigins(batches []Batch) bool {
	if v.unlinked.Load() || v.HoldsLease() {
		return false
	}
	v.holder.Load().tracker.Receive(batches)
	return true
}

func (v *vm) SendLogged(batches []Batch) {
	if keeper := v.keeper.Load(); keeper != nil && v.HoldsLease() && !v.unlinked.Load() {
		keeper.tracker.ReceiveLogged(batches)
	}
}

func (v *vm) SendStarts(batches []Batch) {
	if v.unlinked.Load() {
		return
	}
	holder := v.holder.Load()
	if v != holder {
		holder.tracker.ReceiveStarts(batches)
	}
	if keeper := holder.keeper.Load(); keeper != nil {
		keeper.tracker.ReceiveStarts(batches)
	}
}

func newSystem(vms int, releases ...string) *system {
	s := &system{
		count: vms,
		log: &memoryLog{
			era:      1,
			appended: make(chan struct{}),
		},
		roster: roster.New(),
	}
	s.setReleases(releases...)
	for range vms {
		s.addVM()
	}
	return s
}

// setReleases has one runner of each release registered.
func (s *system) setReleases(releases ...string) {
	s.registered++
	var runners []*roster.Runner
	for _, release := range releases {
		runner := s.runner(release)
		runner.Heartbeat = s.registered
		runners = append(runners, runner)
	}
	s.roster.Replace(runners, time.Now())
}

// registrations reads the registrations from the store, which is as available as the log.
func (s *system) registrations(context.Context) ([]*roster.Runner, error) {
	s.registrationReads.Add(1)
	view := s.roster.View()
	time.Sleep(4 * time.Millisecond)
	var down bool
	s.log.update(func(l *memoryLog) { down = l.down })
	if down {
		return nil, errDown
	}
	return slices.Collect(maps.Values(view.All())), nil
}

func (s *system) runner(release string) *roster.Runner {
	return &roster.Runner{
		ID:          "runner-" + release,
		Service:     "models",
		Release:     release,
		Incarnation: 1,
		Heartbeat:   1,
	}
}

func (s *system) addVM() *vm {
	v := &vm{
		log:       s.log,
		count:     s.count,
		startedAt: time.Now(),
	}
	v.logRestored.Store(s.logRestored)
	v.holder.Store(v)
	if len(s.vms) > 0 {
		v.holder.Store(s.vms[0])
	}
	v.tracker = New(Dependencies{
		Log:           s.log,
		Registrations: s.registrations,
		Peers:         v,
		Roster:        func() *roster.View { return cmp.Or(v.outdated.Load(), s.roster.View()) },
		Clock:         clockwork.NewRealClock(),
		BootClock:     v,
		Logger:        slog.New(slog.DiscardHandler),
	})
	s.vms = append(s.vms, v)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = v.tracker.Run(ctx)
	}()
	v.stop = func() {
		stop()
		<-done
		// A read that nobody waits for any more ends within this time.
		time.Sleep(time.Second)
	}
	return v
}

// end stops all VMs without a chance to report anything more.
func (s *system) end() {
	s.log.update(func(l *memoryLog) { l.down = true })
	for _, v := range s.vms {
		v.stop()
	}
	s.vms = nil
	s.log.update(func(l *memoryLog) { l.down = false })
}

func (v *vm) lookup(id string) Origin { return v.tracker.Lookup(context.Background(), "models", id) }

func known(release string) Origin {
	return Origin{
		Known:   true,
		Release: release,
	}
}

// single is the origin of a stream of a service that had no other release.
func single(release string) Origin {
	return Origin{
		Release: release,
		Known:   true,
		Single:  true,
	}
}
