package orderlease_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orderlease"
)

const (
	waitTimeout = 30 * time.Second
	term        = 3 * time.Second
)

var errDown = errors.New("down")

// stream is the log stream shared by all VMs.
type stream struct {
	mu      sync.Mutex
	records []logservice.Record
	first   logservice.Offset
	// era is 0 while the log states none.
	era logservice.Era
	// appended is closed and replaced at each append.
	appended chan struct{}
	// reads and appends count the calls.
	reads   int
	appends int
}

func (s *stream) counts() (reads, appends int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.appends
}

// end returns the offset after the newest record.
func (s *stream) end() logservice.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endLocked()
}

// endLocked is end for a caller that holds the lock.
func (s *stream) endLocked() logservice.Offset { return s.first + logservice.Offset(len(s.records)) }

// logClient is one VM's access to the stream.
type logClient struct {
	stream *stream
	clock  clockwork.Clock
	mu     sync.Mutex
	// down makes every call fail; dropResponses stores appended records but reports their responses as lost.
	down          bool
	dropResponses bool
}

func (c *logClient) faults() (down, dropResponses bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down, c.dropResponses
}

func (c *logClient) setFaults(down, dropResponses bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down, c.dropResponses = down, dropResponses
}

func (c *logClient) AppendAt(_ context.Context, name string, at logservice.Position, payload []byte) error {
	down, dropResponses := c.faults()
	if down {
		return &logservice.UnavailableError{Stream: name, Cause: errDown}
	}
	c.stream.mu.Lock()
	defer c.stream.mu.Unlock()
	c.stream.appends++
	if at.Offset != c.stream.endLocked() {
		if at.Era != c.stream.era {
			return &logservice.EraChangedError{Stream: name, Era: c.stream.era}
		}
		return &logservice.EndMismatchError{Stream: name, End: c.stream.endLocked()}
	}
	c.stream.records = append(c.stream.records, logservice.Record{Offset: at.Offset, Payload: payload})
	close(c.stream.appended)
	c.stream.appended = make(chan struct{})
	if dropResponses {
		return &logservice.ResponseLostError{Stream: name, Cause: errDown}
	}
	if at.Era != c.stream.era {
		return &logservice.EraChangedError{Stream: name, Era: c.stream.era}
	}
	return nil
}

func (c *logClient) Read(ctx context.Context, name string, from logservice.Position, wait time.Duration) (logservice.Page, error) {
	if down, _ := c.faults(); down {
		return logservice.Page{}, &logservice.UnavailableError{Stream: name, Cause: errDown}
	}
	c.stream.mu.Lock()
	c.stream.reads++
	appended := c.stream.appended
	c.stream.mu.Unlock()
	page, err := c.page(name, from)
	if err != nil {
		return page, err
	}
	if len(page.Records) == 0 && wait > 0 {
		timer := c.clock.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return logservice.Page{}, &logservice.UnavailableError{Stream: name, Cause: ctx.Err()}
		case <-timer.Chan():
		case <-appended:
		}
		return c.page(name, from)
	}
	return page, nil
}

func (c *logClient) page(name string, from logservice.Position) (logservice.Page, error) {
	c.stream.mu.Lock()
	defer c.stream.mu.Unlock()
	if from.Offset > 0 && from.Era != c.stream.era {
		return logservice.Page{}, &logservice.EraChangedError{Stream: name, Era: c.stream.era}
	}
	if from.Offset < c.stream.first || from.Offset > c.stream.endLocked() {
		// The records from there on are gone.
		return logservice.Page{First: c.stream.first, Next: c.stream.first, Era: c.stream.era}, nil
	}
	page := logservice.Page{First: c.stream.first, Next: from.Offset, Era: c.stream.era, End: c.stream.endLocked()}
	for _, r := range c.stream.records {
		if r.Offset >= from.Offset {
			page.Records = append(page.Records, r)
			page.Next = r.Offset + 1
		}
	}
	return page, nil
}

// fakeBootClock is a boot-time clock that can advance while timers are suspended.
type fakeBootClock struct {
	mu        sync.Mutex
	clock     clockwork.Clock
	start     time.Time
	suspended time.Duration
}

func (b *fakeBootClock) Elapsed() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Minute + b.clock.Since(b.start) + b.suspended
}

func (b *fakeBootClock) suspend(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspended += d
}

type vm struct {
	log      *logClient
	boot     *fakeBootClock
	lease    *orderlease.Lease
	resigned chan struct{}
}

type fixture struct {
	stream *stream
	clock  *clockwork.FakeClock
	vms    []*vm
	// running is the number of running VMs; each of them waits on the clock when it has nothing to do.
	running int
	// claimDelay is the claim delay of VMs added from now on.
	claimDelay time.Duration
}

func newFixture(t *testing.T, vms int) *fixture {
	t.Helper()
	f := &fixture{
		stream: &stream{appended: make(chan struct{})},
		clock:  clockwork.NewFakeClock(),
	}
	for i := range vms {
		f.addVM(t, fmt.Sprintf("vm-%d", i), fmt.Sprintf("address-%d", i), fmt.Sprintf("run-%d", i))
	}
	return f
}

func (f *fixture) addVM(t *testing.T, name, address, run string) *vm {
	t.Helper()
	v := &vm{
		log:      &logClient{stream: f.stream, clock: f.clock},
		boot:     &fakeBootClock{clock: f.clock, start: f.clock.Now()},
		resigned: make(chan struct{}, 8),
	}
	v.lease = orderlease.New(orderlease.Options{
		Name:        name,
		Address:     address,
		Incarnation: run,
		Term:        term,
		ClaimDelay:  f.claimDelay,
		OnResign:    func() { v.resigned <- struct{}{} },
	}, v.log, f.clock, v.boot, slog.New(slog.DiscardHandler))
	f.vms = append(f.vms, v)
	return v
}

// start runs the VM; the returned function stops it.
func (f *fixture) start(t *testing.T, v *vm) func() {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	f.running++
	go func() {
		defer close(done)
		_ = v.lease.Run(ctx)
	}()
	stopOnce := sync.OnceFunc(func() {
		stop()
		<-done
		f.running--
	})
	t.Cleanup(stopOnce)
	return stopOnce
}

func (f *fixture) startAll(t *testing.T) {
	t.Helper()
	for _, v := range f.vms {
		f.start(t, v)
	}
}

func (f *fixture) advanceUntil(t *testing.T, condition func() bool) {
	t.Helper()
	limit, stop := context.WithTimeout(t.Context(), waitTimeout)
	defer stop()
	for !condition() {
		// Advance the clock only while every VM waits on it, so that the load of the machine does not change the outcome.
		require.NoError(t, f.clock.BlockUntilContext(limit, f.running))
		if condition() {
			return
		}
		f.clock.Advance(10 * time.Millisecond)
	}
}

func (f *fixture) holders() []*vm {
	var holders []*vm
	for _, v := range f.vms {
		if _, ok := v.lease.Fence(); ok {
			holders = append(holders, v)
		}
	}
	return holders
}

func (f *fixture) waitForHolder(t *testing.T) *vm {
	t.Helper()
	f.advanceUntil(t, func() bool { return len(f.holders()) == 1 })
	return f.holders()[0]
}

func fence(v *vm) uint64 {
	f, _ := v.lease.Fence()
	return f
}

func TestAtMostOneHolder(t *testing.T) {
	f := newFixture(t, 5)
	f.startAll(t)
	holder := f.waitForHolder(t)
	before := fence(holder)
	for started := f.clock.Now(); f.clock.Since(started) < 10*time.Second; {
		until := f.clock.Now().Add(20 * time.Millisecond)
		f.advanceUntil(t, func() bool { return !f.clock.Now().Before(until) })
		require.LessOrEqual(t, len(f.holders()), 1)
		require.Equal(t, before, fence(holder))
	}
}

func TestSuccessorHasHigherFence(t *testing.T) {
	f := newFixture(t, 2)
	stop := f.start(t, f.vms[0])
	f.advanceUntil(t, func() bool { return fence(f.vms[0]) > 0 })
	before := fence(f.vms[0])
	stop()
	f.start(t, f.vms[1])
	f.advanceUntil(t, func() bool { return fence(f.vms[1]) > 0 })
	require.Greater(t, fence(f.vms[1]), before)
	require.Zero(t, fence(f.vms[0]), "the previous holder's term ends before another VM claims the lease")
}

// A VM that was suspended must not continue under a term that ended meanwhile, even though its timers did not advance.
func TestTermExpiresDuringSuspension(t *testing.T) {
	f := newFixture(t, 1)
	f.startAll(t)
	v := f.waitForHolder(t)
	v.boot.suspend(term)
	_, ok := v.lease.Fence()
	require.False(t, ok)
}

func TestRenewalWithLostAnswerIsResolved(t *testing.T) {
	f := newFixture(t, 1)
	f.startAll(t)
	v := f.waitForHolder(t)
	before := fence(v)
	v.log.setFaults(false, true)
	f.stream.mu.Lock()
	n := len(f.stream.records)
	f.stream.mu.Unlock()
	f.advanceUntil(t, func() bool {
		f.stream.mu.Lock()
		defer f.stream.mu.Unlock()
		return len(f.stream.records) > n+6
	})
	require.Equal(t, before, fence(v))
}

func TestClaimWithLostAnswerIsResolved(t *testing.T) {
	f := newFixture(t, 2)
	for _, v := range f.vms {
		v.log.setFaults(false, true)
	}
	f.startAll(t)
	f.waitForHolder(t)
}

// A holder that can't reach the store announces its resignation, and a VM that reaches the store need not wait for the
// term to end.
func TestResignationFreesLeaseEarly(t *testing.T) {
	f := newFixture(t, 2)
	f.start(t, f.vms[0])
	f.advanceUntil(t, func() bool { return fence(f.vms[0]) > 0 })
	f.start(t, f.vms[1])
	f.vms[0].log.setFaults(true, false)
	f.advanceUntil(t, func() bool {
		select {
		case <-f.vms[0].resigned:
			return true
		default:
			return false
		}
	})
	require.Zero(t, fence(f.vms[0]))
	_, resigned := f.vms[0].lease.ReadPosition()
	started := f.clock.Now()
	f.vms[1].lease.HolderResigned(resigned)
	f.advanceUntil(t, func() bool { return fence(f.vms[1]) > 0 })
	require.Greater(t, fence(f.vms[1]), resigned)
	require.Less(t, f.clock.Since(started), term)
}

// A resignation from an earlier tenure does not affect the current one.
func TestOutdatedResignationIsIgnored(t *testing.T) {
	f := newFixture(t, 2)
	stop := f.start(t, f.vms[0])
	f.advanceUntil(t, func() bool { return fence(f.vms[0]) > 0 })
	stop()
	f.start(t, f.vms[1])
	f.advanceUntil(t, func() bool { return fence(f.vms[1]) > 0 })
	third := f.addVM(t, "vm-3", "address-3", "run-3")
	third.lease.HolderResigned(1)
	f.start(t, third)
	for range 300 {
		f.clock.Advance(20 * time.Millisecond)
		require.LessOrEqual(t, len(f.holders()), 1)
	}
}

func TestReleaseFreesLeaseImmediately(t *testing.T) {
	f := newFixture(t, 2)
	f.start(t, f.vms[0])
	f.advanceUntil(t, func() bool { return fence(f.vms[0]) > 0 })
	f.start(t, f.vms[1])
	f.vms[0].lease.Release(t.Context())
	require.Zero(t, fence(f.vms[0]))
	f.advanceUntil(t, func() bool { return fence(f.vms[1]) > 0 })
	require.Zero(t, fence(f.vms[0]))
}

// A process that restarts on its own address knows that its earlier run has ended.
func TestRestartedProcessClaimsImmediately(t *testing.T) {
	f := newFixture(t, 1)
	stop := f.start(t, f.vms[0])
	f.advanceUntil(t, func() bool { return fence(f.vms[0]) > 0 })
	before := fence(f.vms[0])
	stop()
	restarted := f.addVM(t, "vm-0", "address-0", "run-0-again")
	started := f.clock.Now()
	f.start(t, restarted)
	f.advanceUntil(t, func() bool { return fence(restarted) > 0 })
	require.Greater(t, fence(restarted), before)
	require.Less(t, f.clock.Since(started), term)
}

func TestRejectedFenceEndsTenure(t *testing.T) {
	f := newFixture(t, 1)
	f.startAll(t)
	v := f.waitForHolder(t)
	current := fence(v)
	v.lease.FenceRejected(current + 1)
	require.Equal(t, current, fence(v), "a rejection of another token has no effect")
	v.lease.FenceRejected(current)
	require.NotEqual(t, current, fence(v))
}

func TestUnreadableAndTruncatedRecordsAreSkipped(t *testing.T) {
	f := newFixture(t, 1)
	f.stream.first = 7
	f.stream.records = []logservice.Record{{Offset: 7, Payload: []byte{0xff, 0x00}}}
	f.startAll(t)
	v := f.waitForHolder(t)
	require.GreaterOrEqual(t, fence(v), uint64(9))
}

// A message from the holder over a link saves other VMs from reading the stream: it counts as having seen the holder's
// records.
func TestHolderContactAdvancesOffset(t *testing.T) {
	f := newFixture(t, 2)
	f.start(t, f.vms[0])
	f.advanceUntil(t, func() bool { return fence(f.vms[0]) > 0 })
	f.start(t, f.vms[1])
	f.advanceUntil(t, func() bool { _, ok := f.vms[1].lease.Holder(); return ok })
	next, _ := f.vms[0].lease.ReadPosition()
	f.vms[1].lease.HolderSeen(next, fence(f.vms[0]))
	require.True(t, f.vms[1].lease.HolderSeenRecently())
	position, _ := f.vms[1].lease.ReadPosition()
	require.Equal(t, next, position)
}

// A VM with a claim delay claims a free lease only if no other VM does.
func TestClaimDelayLeavesLeaseToOthers(t *testing.T) {
	f := newFixture(t, 0)
	f.claimDelay = time.Second
	f.addVM(t, "slow", "address-0", "run-0")
	f.start(t, f.vms[0])
	f.claimDelay = 0
	f.addVM(t, "fast", "address-1", "run-1")
	stop := f.start(t, f.vms[1])
	f.advanceUntil(t, func() bool { return f.holds(1) })
	require.False(t, f.holds(0))
	stop()
	f.advanceUntil(t, func() bool { return f.holds(0) })
}

func (f *fixture) holds(i int) bool {
	_, ok := f.vms[i].lease.Fence()
	return ok
}

// When hundreds of VMs start at once, those whose turn to claim comes later must learn of the first claim by the read in
// which they wait, and append nothing.
func TestStartOfManyVMsNeedsFewCalls(t *testing.T) {
	const fast, slow = 6, 60
	f := newFixture(t, fast)
	f.claimDelay = time.Second
	for i := range slow {
		f.addVM(t, fmt.Sprintf("slow-%d", i), fmt.Sprintf("slow-address-%d", i), fmt.Sprintf("slow-run-%d", i))
	}
	f.startAll(t)
	f.waitForHolder(t)
	f.advanceUntil(t, func() bool {
		for _, v := range f.vms {
			if _, known := v.lease.Holder(); !known {
				return false
			}
		}
		return true
	})
	reads, appends := f.stream.counts()
	require.LessOrEqual(t, appends, fast)
	require.LessOrEqual(t, reads, fast+slow+fast, "one read for each VM, and a second one for those whose claim came too late")
}

// While the holder sends messages over a link, and shortly after its first record, no VM needs to read the stream.
func TestContactSavesReads(t *testing.T) {
	f := newFixture(t, 2)
	f.start(t, f.vms[0])
	f.advanceUntil(t, func() bool { return f.holds(0) })
	f.start(t, f.vms[1])
	f.advanceUntil(t, func() bool { _, known := f.vms[1].lease.Holder(); return known })
	before, _ := f.stream.counts()
	for started := f.clock.Now(); f.clock.Since(started) < 10*time.Second; {
		next, _ := f.vms[0].lease.ReadPosition()
		f.vms[1].lease.HolderSeen(next, fence(f.vms[0]))
		until := f.clock.Now().Add(500 * time.Millisecond)
		f.advanceUntil(t, func() bool { return !f.clock.Now().Before(until) })
	}
	after, _ := f.stream.counts()
	require.Equal(t, before, after)
}

// A planned stop of the holder must not leave the lease free until the other VMs miss its messages.
func TestReleaseIsAnnounced(t *testing.T) {
	f := newFixture(t, 2)
	f.start(t, f.vms[0])
	f.advanceUntil(t, func() bool { return f.holds(0) })
	f.start(t, f.vms[1])
	f.advanceUntil(t, func() bool { _, known := f.vms[1].lease.Holder(); return known })
	next, _ := f.vms[0].lease.ReadPosition()
	f.vms[1].lease.HolderSeen(next, fence(f.vms[0]))
	f.vms[0].lease.Release(t.Context())
	select {
	case <-f.vms[0].resigned:
	default:
		require.Fail(t, "the release was not announced")
	}
	_, resigned := f.vms[0].lease.ReadPosition()
	released := f.clock.Now()
	f.vms[1].lease.HolderResigned(resigned)
	f.advanceUntil(t, func() bool { return f.holds(1) })
	require.Less(t, f.clock.Since(released), time.Second)
}

// A VM that learned of a new tenure only from messages of its holder must not take the resignation of the former holder for one of
// the new tenure: both would hold the lease for a moment.
func TestFormerResignationDoesNotEndNewTenure(t *testing.T) {
	for name, tellsFence := range map[string]bool{"holder tells its fence": true, "holder of an older release": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 3)
			stop := f.start(t, f.vms[0])
			f.advanceUntil(t, func() bool { return f.holds(0) })
			former := fence(f.vms[0])
			stopWatcher := f.start(t, f.vms[2])
			f.advanceUntil(t, func() bool { _, known := f.vms[2].lease.Holder(); return known })
			stopWatcher()
			stop()
			f.start(t, f.vms[1])
			f.advanceUntil(t, func() bool { return f.holds(1) })
			next, _ := f.vms[1].lease.ReadPosition()
			told := uint64(0)
			if tellsFence {
				told = fence(f.vms[1])
			}
			f.vms[2].lease.HolderSeen(next, told)
			f.vms[2].lease.HolderResigned(former)
			f.start(t, f.vms[2])
			for started := f.clock.Now(); f.clock.Since(started) < 2*term; {
				until := f.clock.Now().Add(20 * time.Millisecond)
				f.advanceUntil(t, func() bool { return !f.clock.Now().Before(until) })
				require.False(t, f.holds(2))
				require.True(t, f.holds(1))
			}
		})
	}
}

// The number of VMs must outlive its holder, and records without it must be those of earlier builds.
func TestRecordsCarryNumberOfVMs(t *testing.T) {
	f := newFixture(t, 0)
	count := 0
	v := f.addVM(t, "vm", "address", "run")
	v.lease = orderlease.New(orderlease.Options{
		Name:        "vm",
		Address:     "address",
		Incarnation: "run",
		Term:        term,
		OnResign:    func() {},
		VMs: func(recorded int, _ uint64) int {
			f.stream.mu.Lock()
			defer f.stream.mu.Unlock()
			return max(recorded, count)
		},
	}, v.log, f.clock, v.boot, slog.New(slog.DiscardHandler))
	stop := f.start(t, v)
	f.advanceUntil(t, func() bool { return fence(v) > 0 })
	require.Zero(t, v.lease.RecordedVMs())
	f.stream.mu.Lock()
	var decoded map[string]any
	require.NoError(t, cbor.Unmarshal(f.stream.records[0].Payload, &decoded))
	count = 67
	f.stream.mu.Unlock()
	require.NotContains(t, decoded, "VMs")
	f.advanceUntil(t, func() bool { return v.lease.RecordedVMs() == 67 })
	stop()
	successor := f.addVM(t, "other", "other-address", "other-run")
	f.start(t, successor)
	f.advanceUntil(t, func() bool { return successor.lease.RecordedVMs() == 67 })
}
