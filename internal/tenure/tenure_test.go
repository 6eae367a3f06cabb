package tenure_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/tenure"
)

const (
	waitLimit = 30 * time.Second
	term      = 3 * time.Second
)

var errDown = errors.New("down")

// stream is the log as all VMs see it.
type stream struct {
	mu      sync.Mutex
	records []logservice.Record
	first   logservice.Offset
}

func (s *stream) end() logservice.Offset { return s.first + logservice.Offset(len(s.records)) }

// door is one VM's way to the stream.
type door struct {
	stream *stream
	clock  clockwork.Clock
	mu     sync.Mutex
	// down answers nothing; loseAnswers takes appends and loses their answers.
	down        bool
	loseAnswers bool
}

func (d *door) faults() (down, lose bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down, d.loseAnswers
}

func (d *door) set(down, lose bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.loseAnswers = down, lose
}

func (d *door) AppendAt(_ context.Context, name string, at logservice.Offset, payload []byte) error {
	down, lose := d.faults()
	if down {
		return &logservice.UnavailableError{Stream: name, Cause: errDown}
	}
	d.stream.mu.Lock()
	defer d.stream.mu.Unlock()
	if at != d.stream.end() {
		return &logservice.MovedError{Stream: name, End: d.stream.end()}
	}
	d.stream.records = append(d.stream.records, logservice.Record{Offset: at, Payload: payload})
	if lose {
		return &logservice.AnswerLostError{Stream: name, Cause: errDown}
	}
	return nil
}

func (d *door) Read(ctx context.Context, name string, from logservice.Offset, wait time.Duration) (logservice.Page, error) {
	if down, _ := d.faults(); down {
		return logservice.Page{}, &logservice.UnavailableError{Stream: name, Cause: errDown}
	}
	page := d.page(from)
	if len(page.Records) == 0 && wait > 0 {
		select {
		case <-ctx.Done():
		case <-d.clock.After(wait):
		}
		page = d.page(from)
	}
	return page, nil
}

func (d *door) page(from logservice.Offset) logservice.Page {
	d.stream.mu.Lock()
	defer d.stream.mu.Unlock()
	page := logservice.Page{First: d.stream.first, Next: max(from, d.stream.first)}
	if from < d.stream.first {
		return page
	}
	for _, r := range d.stream.records {
		if r.Offset >= from {
			page.Records = append(page.Records, r)
			page.Next = r.Offset + 1
		}
	}
	return page
}

// boot is a clock since boot that can pass while timers stand still.
type boot struct {
	mu    sync.Mutex
	clock clockwork.Clock
	start time.Time
	extra time.Duration
}

func (b *boot) Elapsed() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Minute + b.clock.Since(b.start) + b.extra
}

func (b *boot) suspend(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extra += d
}

type vm struct {
	door     *door
	boot     *boot
	tenure   *tenure.Tenure
	resigned chan struct{}
}

type world struct {
	stream *stream
	clock  *clockwork.FakeClock
	vms    []*vm
	// running is how many VMs run, each of which sleeps on the clock when it has nothing to do.
	running int
	// reluctance is that of VMs added from now on.
	reluctance time.Duration
}

func newWorld(t *testing.T, vms int) *world {
	t.Helper()
	w := &world{
		stream: &stream{},
		clock:  clockwork.NewFakeClock(),
	}
	for i := range vms {
		w.add(t, fmt.Sprintf("vm-%d", i), fmt.Sprintf("address-%d", i), fmt.Sprintf("run-%d", i))
	}
	return w
}

func (w *world) add(t *testing.T, name, address, run string) *vm {
	t.Helper()
	v := &vm{
		door:     &door{stream: w.stream, clock: w.clock},
		boot:     &boot{clock: w.clock, start: w.clock.Now()},
		resigned: make(chan struct{}, 8),
	}
	v.tenure = tenure.New(tenure.Options{
		Name:        name,
		Address:     address,
		Incarnation: run,
		Term:        term,
		Reluctance:  w.reluctance,
		OnResign:    func() { v.resigned <- struct{}{} },
	}, v.door, w.clock, v.boot, slog.New(slog.DiscardHandler))
	w.vms = append(w.vms, v)
	return v
}

// start runs the VM; the returned function stops it.
func (w *world) start(t *testing.T, v *vm) func() {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	w.running++
	go func() {
		defer close(done)
		_ = v.tenure.Run(ctx)
	}()
	once := sync.OnceFunc(func() {
		stop()
		<-done
		w.running--
	})
	t.Cleanup(once)
	return once
}

func (w *world) startAll(t *testing.T) {
	t.Helper()
	for _, v := range w.vms {
		w.start(t, v)
	}
}

func (w *world) until(t *testing.T, holds func() bool) {
	t.Helper()
	limit, stop := context.WithTimeout(t.Context(), waitLimit)
	defer stop()
	for !holds() {
		// Time passes only while every VM sleeps, so that a busy machine does not change what happens.
		require.NoError(t, w.clock.BlockUntilContext(limit, w.running))
		if holds() {
			return
		}
		w.clock.Advance(10 * time.Millisecond)
	}
}

func (w *world) holders() []*vm {
	var out []*vm
	for _, v := range w.vms {
		if _, ok := v.tenure.Fence(); ok {
			out = append(out, v)
		}
	}
	return out
}

func (w *world) holder(t *testing.T) *vm {
	t.Helper()
	w.until(t, func() bool { return len(w.holders()) == 1 })
	return w.holders()[0]
}

func fence(v *vm) uint64 {
	f, _ := v.tenure.Fence()
	return f
}

func TestOneOfManyHolds(t *testing.T) {
	w := newWorld(t, 5)
	w.startAll(t)
	first := w.holder(t)
	before := fence(first)
	for range 500 {
		w.clock.Advance(20 * time.Millisecond)
		require.LessOrEqual(t, len(w.holders()), 1)
	}
	w.until(t, func() bool { return fence(first) == before })
}

func TestSuccessorHasAHigherFence(t *testing.T) {
	w := newWorld(t, 2)
	stop := w.start(t, w.vms[0])
	w.until(t, func() bool { return fence(w.vms[0]) > 0 })
	before := fence(w.vms[0])
	stop()
	w.start(t, w.vms[1])
	w.until(t, func() bool { return fence(w.vms[1]) > 0 })
	require.Greater(t, fence(w.vms[1]), before)
	require.Zero(t, fence(w.vms[0]), "the former holder's term is over before another one claims")
}

// A VM that was suspended must not go on under a term that ran out meanwhile, though its timers stood still.
func TestSuspensionEndsTheTerm(t *testing.T) {
	w := newWorld(t, 1)
	w.startAll(t)
	v := w.holder(t)
	v.boot.suspend(term)
	_, ok := v.tenure.Fence()
	require.False(t, ok)
}

func TestLostAnswerToARenewalIsSettled(t *testing.T) {
	w := newWorld(t, 1)
	w.startAll(t)
	v := w.holder(t)
	before := fence(v)
	v.door.set(false, true)
	w.stream.mu.Lock()
	n := len(w.stream.records)
	w.stream.mu.Unlock()
	w.until(t, func() bool {
		w.stream.mu.Lock()
		defer w.stream.mu.Unlock()
		return len(w.stream.records) > n+6
	})
	require.Equal(t, before, fence(v))
}

func TestLostAnswerToAClaimIsSettled(t *testing.T) {
	w := newWorld(t, 2)
	for _, v := range w.vms {
		v.door.set(false, true)
	}
	w.startAll(t)
	w.holder(t)
}

// A holder that can't reach the store says so to the others, and one that reaches it need not wait for the term.
func TestResignation(t *testing.T) {
	w := newWorld(t, 2)
	w.start(t, w.vms[0])
	w.until(t, func() bool { return fence(w.vms[0]) > 0 })
	w.start(t, w.vms[1])
	w.vms[0].door.set(true, false)
	w.until(t, func() bool {
		select {
		case <-w.vms[0].resigned:
			return true
		default:
			return false
		}
	})
	require.Zero(t, fence(w.vms[0]))
	_, resigned := w.vms[0].tenure.Position()
	at := w.clock.Now()
	w.vms[1].tenure.Resigned(resigned)
	w.until(t, func() bool { return fence(w.vms[1]) > 0 })
	require.Greater(t, fence(w.vms[1]), resigned)
	require.Less(t, w.clock.Since(at), term)
}

// A resignation of a former tenure says nothing of the present one.
func TestOldResignationDoesNotCount(t *testing.T) {
	w := newWorld(t, 2)
	stop := w.start(t, w.vms[0])
	w.until(t, func() bool { return fence(w.vms[0]) > 0 })
	stop()
	w.start(t, w.vms[1])
	w.until(t, func() bool { return fence(w.vms[1]) > 0 })
	third := w.add(t, "vm-3", "address-3", "run-3")
	third.tenure.Resigned(1)
	w.start(t, third)
	for range 300 {
		w.clock.Advance(20 * time.Millisecond)
		require.LessOrEqual(t, len(w.holders()), 1)
	}
}

func TestReleaseLetsAnotherClaimAtOnce(t *testing.T) {
	w := newWorld(t, 2)
	w.start(t, w.vms[0])
	w.until(t, func() bool { return fence(w.vms[0]) > 0 })
	w.start(t, w.vms[1])
	w.vms[0].tenure.Release(t.Context())
	require.Zero(t, fence(w.vms[0]))
	w.until(t, func() bool { return fence(w.vms[1]) > 0 })
	require.Zero(t, fence(w.vms[0]))
}

// A process that starts again on its own address knows that its former run has ended.
func TestRestartClaimsAtOnce(t *testing.T) {
	w := newWorld(t, 1)
	stop := w.start(t, w.vms[0])
	w.until(t, func() bool { return fence(w.vms[0]) > 0 })
	before := fence(w.vms[0])
	stop()
	again := w.add(t, "vm-0", "address-0", "run-0-again")
	at := w.clock.Now()
	w.start(t, again)
	w.until(t, func() bool { return fence(again) > 0 })
	require.Greater(t, fence(again), before)
	require.Less(t, w.clock.Since(at), term)
}

func TestRefusedFenceEndsTheTenure(t *testing.T) {
	w := newWorld(t, 1)
	w.startAll(t)
	v := w.holder(t)
	old := fence(v)
	v.tenure.Refused(old + 1)
	require.Equal(t, old, fence(v), "a refusal of another number says nothing")
	v.tenure.Refused(old)
	require.NotEqual(t, old, fence(v))
}

func TestUnreadableAndExpiredRecordsAreSkipped(t *testing.T) {
	w := newWorld(t, 1)
	w.stream.first = 7
	w.stream.records = []logservice.Record{{Offset: 7, Payload: []byte{0xff, 0x00}}}
	w.startAll(t)
	v := w.holder(t)
	require.GreaterOrEqual(t, fence(v), uint64(9))
}

// The holder's word over a link spares others the reading, and counts as seen.
func TestLinkedVMsDoNotRead(t *testing.T) {
	w := newWorld(t, 2)
	w.start(t, w.vms[0])
	w.until(t, func() bool { return fence(w.vms[0]) > 0 })
	w.start(t, w.vms[1])
	w.until(t, func() bool { _, ok := w.vms[1].tenure.Holder(); return ok })
	next, _ := w.vms[0].tenure.Position()
	w.vms[1].tenure.Linked(next)
	require.True(t, w.vms[1].tenure.Heard())
	at, _ := w.vms[1].tenure.Position()
	require.Equal(t, next, at)
}

// A reluctant VM claims a free lease only when no other does.
func TestReluctantVMLeavesTheLeaseToOthers(t *testing.T) {
	w := newWorld(t, 0)
	w.reluctance = time.Second
	w.add(t, "slow", "address-0", "run-0")
	w.start(t, w.vms[0])
	w.reluctance = 0
	w.add(t, "fast", "address-1", "run-1")
	stop := w.start(t, w.vms[1])
	w.until(t, func() bool { return w.holds(1) })
	require.False(t, w.holds(0))
	stop()
	w.until(t, func() bool { return w.holds(0) })
}

func (w *world) holds(i int) bool {
	_, ok := w.vms[i].tenure.Fence()
	return ok
}
