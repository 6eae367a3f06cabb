package origin

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/singleflight"

	"github.com/cowsliparch/cowsliparch/internal/boottime"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// Stream is the name of the log stream that names the release of streams.
	Stream = "StreamOrigins"

	// memory is how long after its start a stream may be taken up: longer than any caller waits.
	memory = 30 * time.Second
	// minReportInterval is the pause between two reports of streams, reportIntervalPerVM the same for each VM of the system, and
	// idleInterval that between two looks at the releases while there is nothing to report.
	minReportInterval   = 20 * time.Millisecond
	reportIntervalPerVM = 400 * time.Microsecond
	idleInterval        = 200 * time.Millisecond
	// appendInterval is the pause between two appends by the lease holder, maxAppends how many may be under way.
	appendInterval = 40 * time.Millisecond
	maxAppends     = 8
	// lookupTimeout is how long the record of a stream is awaited: reports take two intervals, an append and the way.
	lookupTimeout = 400 * time.Millisecond
	// maxLookupTime is how long a read of the log is awaited.
	maxLookupTime = 2 * time.Second
	// minReadInterval is the pause between two reads of the log by one VM, readIntervalPerVM the same for each VM of the system.
	minReadInterval   = 50 * time.Millisecond
	readIntervalPerVM = 5 * time.Millisecond
	// appendIntervalPerVM is the pause between two appends by a VM that reaches no lease holder, for each VM of the system.
	appendIntervalPerVM = 10 * time.Millisecond
	// maxPendingBatches is how many batches wait for an append before those of the same release and second are joined.
	maxPendingBatches = 1 << 12
	// confirmTime is how long after a report the lease holder has certainly appended it, unless it has ended or can't reach the log.
	confirmTime = 2 * time.Second
)

// Log is the log that outlasts all VMs.
type Log interface {
	// Append appends a record to a stream and returns the era that the response states, 0 if it states none. The record may have been
	// appended in an earlier one.
	Append(ctx context.Context, stream string, payload []byte) (logservice.Era, error)
	// Read is that of logservice.ConditionalLog.
	Read(ctx context.Context, stream string, from logservice.Position, wait time.Duration) (logservice.Page, error)
	// Era returns the newest era that a response to this VM has stated, 0 if none has.
	Era() logservice.Era
}

// Peers connects a tracker to the other VMs.
type Peers interface {
	// HoldsLease reports whether this VM appends for all VMs.
	HoldsLease() bool
	// SendStarts has other VMs keep streams that began while their service had a single release, if there are links.
	SendStarts(batches []Batch)
	// SendLogged has other VMs keep streams that this VM, as the lease holder, has appended to the log.
	SendLogged(batches []Batch)
	// SendOrigins reports streams over the present link to the lease holder, and returns false if there is none.
	SendOrigins(batches []Batch) bool
	// Links returns the number of links to lease holders that were opened so far.
	Links() uint64
	// Informed reports whether this VM learns of new runners, from the store or from another VM.
	Informed() bool
	// Census returns a census that the VM to which this one is linked takes after the call, and false if there is none in time.
	Census(ctx context.Context) (Census, bool)
	// VMs returns the number of VMs.
	VMs() int
	// LogRestored reports whether the log came back from a copy so recently that no VM is known to have got the lease since.
	LogRestored() bool
	// LogEra returns the newest era of the log that the lease holder has reported, 0 if it has reported none.
	LogEra() logservice.Era
}

// Dependencies holds what a tracker uses.
type Dependencies struct {
	Log           Log
	Registrations Registrations
	Peers         Peers
	Roster        func() *roster.View
	Clock         clockwork.Clock
	// BootClock shows for how long this VM stood still.
	BootClock boottime.Clock
	Logger    *slog.Logger
}

// Tracker remembers which release began a stream; it is safe for concurrent use.
type Tracker struct {
	Dependencies
	mixes mixes
	// own has the streams that began here, kept those that this VM keeps for others, logged those that the log is known to name, and unlogged
	// those that it named before it was restored from a copy.
	own      *index
	kept     *index
	logged   *index
	unlogged *index
	// reads lets requests that look for streams share a read of the log.
	reads singleflight.Group
	// counts and censuses let them, and other VMs, share a look at the releases that began after they asked.
	counts   fresh[Census]
	censuses fresh[Census]
	// appends waits for the appends under way, of which there are appending.
	appends   sync.WaitGroup
	appending atomic.Int32

	mu sync.Mutex
	// starts are the streams of services of a single release that are to be reported, and startsLink is the number of the link to which
	// earlier ones were.
	starts     pending
	startsLink uint64
	// outgoing are the streams to be reported, reported those that were within confirmTime, over the link with number link, and
	// received those that other VMs reported and the log lacks.
	outgoing   pending
	reported   []Batch
	link       uint64
	received   []Batch
	lastAppend time.Time
	// next is the position of the next read, lastRead when the last one began.
	next     logservice.Position
	lastRead time.Time
	// readToEnd is when the last read began that reached the end of the log, and heldSince since when this VM holds the lease, zero if it does
	// not.
	readToEnd time.Time
	heldSince time.Time
	// loggedAt is the time of the newest batch of each service in the log.
	loggedAt map[string]time.Time
	// observedAt is when the releases were looked at last, as time since boot, and observedSince since when no change of them can have
	// been missed.
	observedAt    time.Duration
	observedSince time.Time
	// era is the newest era of the log that is known here, 0 if none is, and restoredAt when this VM learned that the log was restored.
	era        logservice.Era
	restoredAt time.Time
	// unloggedPending is set until this VM, as lease holder, has the unlogged streams appended.
	unloggedPending bool
}

// New returns a tracker; Run reports streams.
func New(d Dependencies) *Tracker {
	t := &Tracker{
		Dependencies:  d,
		mixes:         mixes{services: make(map[string]*mix)},
		own:           newIndex(memory / 2),
		kept:          newIndex(memory / 2),
		logged:        newIndex(memory / 2),
		unlogged:      newIndex(memory / 2),
		starts:        make(pending),
		outgoing:      make(pending),
		loggedAt:      make(map[string]time.Time),
		observedAt:    d.BootClock.Elapsed(),
		observedSince: d.Clock.Now(),
	}
	t.counts = fresh[Census]{
		clock:    d.Clock,
		fetch:    t.count,
		interval: t.countInterval,
	}
	t.censuses = fresh[Census]{
		clock:    d.Clock,
		fetch:    t.takeCensus,
		interval: func() time.Duration { return minCensusInterval },
	}
	return t
}

// Receive handles the report of another VM, which this VM is to append to the log.
func (t *Tracker) Receive(batches []Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = append(t.received, batches...)
}

// Run reports the streams that began here and appends what other VMs reported, until the context ends. Then it reports once more.
func (t *Tracker) Run(ctx context.Context) error {
	finalCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	// Callers may take up streams as soon as this VM is ready.
	t.reads.DoChan("", func() (any, error) { return nil, t.readPage(finalCtx, 0) })
	for ctx.Err() == nil {
		t.observe()
		t.noticeRestore()
		t.catchUp(finalCtx)
		t.recoverUnlogged()
		t.reportStarts()
		t.report(finalCtx)
		pause.For(ctx, t.Clock, t.interval())
	}
	t.report(finalCtx)
	timer := t.Clock.AfterFunc(lookupTimeout, cancel)
	defer timer.Stop()
	t.appends.Wait()
	return nil
}

// interval returns the pause until the next report.
func (t *Tracker) interval() time.Duration {
	switch {
	case !t.mixes.anyWithin(memory, t.Clock.Now()):
		return idleInterval
	case t.Peers.HoldsLease():
		return appendInterval
	default:
		return max(minReportInterval, time.Duration(t.Peers.VMs())*reportIntervalPerVM)
	}
}

// observe looks for services that have begun to have several releases, and has the streams that began before reported.
func (t *Tracker) observe() {
	now := t.Clock.Now()
	t.noteObservation(now)
	for _, service := range t.mixes.observe(t.Roster(), now) {
		event.ReleasesMixed.Log(t.Logger, slog.String("Service", service))
		t.mu.Lock()
		t.own.collect(service, t.outgoing)
		t.kept.collect(service, t.outgoing)
		t.mu.Unlock()
	}
}
