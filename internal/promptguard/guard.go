package promptguard

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// reportInterval is the pause between two reports of a section's successes.
	reportInterval = 200 * time.Millisecond
	// struckTerm is for how long, at least, the sections of a prompt that broke off are remembered.
	struckTerm = 10 * time.Minute
	// maxRecentStrikes and recentTTL bound the strikes that are sent again over a new link.
	maxRecentStrikes = 64
	recentTTL        = 30 * time.Second
)

// Peers connects a guard to the other VMs.
type Peers interface {
	// HoldsLease reports whether this VM decides for all VMs.
	HoldsLease() bool
	// Tenure identifies the tenure for which this VM holds the lease. It changes without a break when the store was restored from a copy,
	// which may lack what was saved.
	Tenure() uint64
	// LinkedToHolder reports whether this VM has a link to the lease holder, and returns the number of links opened so far.
	LinkedToHolder() (link uint64, ok bool)
	// SendEvidence sends evidence to the lease holder, if there is a link.
	SendEvidence(e quarantine.Evidence)
	// BroadcastQuarantine sends decisions to all linked VMs.
	BroadcastQuarantine(s quarantine.Status)
}

// Dependencies holds what a guard uses.
type Dependencies struct {
	Peers Peers
	Store quarantine.Store
	// Roster returns the known runners.
	Roster func() *roster.View
	// LastReceived returns when data last came from a runner.
	LastReceived func(runner string) time.Time
	Metrics      *Metrics
	Clock        clockwork.Clock
	Logger       *slog.Logger
}

// Guard implements dispatch.SectionGuard; it is safe for concurrent use.
type Guard struct {
	Dependencies
	view atomic.Pointer[view]
	// begun remembers sections whose answers began, proven those of answers that showed them to be sound.
	begun  *sounds
	proven *sounds
	// answered has the sections of all answers that showed them to be sound, struck those of prompts that broke off.
	answered *recentSet
	struck   *recentSet
	// wake requests a broadcast, saveWake a round of saving, followWake rounds of following incarnations.
	wake       chan struct{}
	saveWake   chan struct{}
	followWake chan struct{}
	// loaded is closed once the stored records have been read; reload requests to read them again.
	loaded chan struct{}
	reload chan struct{}

	mu       sync.Mutex
	detector *quarantine.Detector
	list     *quarantine.List
	// fromHolder is what the lease holder last sent, and holderLink the link over which it came.
	fromHolder quarantine.Status
	holderLink uint64
	role       role
	// tenure is that of the last round in which this VM held the lease.
	tenure uint64
	// judgeAt is when the lease holder next judges; before that, it awaits answers that other VMs know.
	judgeAt time.Time
	// recent holds this VM's newest strikes.
	recent []quarantine.Strike
	// reportedAt is when a success or request of a section was last reported.
	reportedAt map[reportKey]time.Time
	// suspects are those last logged.
	suspects map[string]bool
	// sent is what was last broadcast, and sentEntries the records last broadcast.
	sent        string
	sentEntries map[string]quarantine.Entry
	// own holds the sections that this VM convicted while it was alone.
	own map[string]bool
	// overruled holds this VM's convictions that the lease holder did not share as of the last round.
	overruled map[string]bool
	// active holds the sections in quarantine as of the last round, to notice expiries.
	active map[string]bool
	// unsaved holds the sections whose record is to be saved, saved the records as stored.
	unsaved map[string]bool
	saved   map[string]quarantine.Entry
	// savedKnown is set once the stored records have been read since this VM got the lease.
	savedKnown bool
	// followed lists this VM's strikes at incarnations that may turn out to run on, the oldest first.
	followed []quarantine.Strike
	// ends lists answers of this VM of which it is not known yet whether they are whole, the oldest first.
	ends []unmarkedEnd
	// pulses follow the heartbeats of incarnations with strikes.
	pulses map[quarantine.Incarnation]*pulse
}

// New returns a guard without evidence; the caller runs its loops.
func New(d Dependencies) *Guard {
	g := &Guard{
		Dependencies: d,
		begun:        newSounds(),
		proven:       newSounds(),
		answered:     newRecentSet(soundTTL),
		struck:       newRecentSet(struckTerm),
		wake:         make(chan struct{}, 1),
		saveWake:     make(chan struct{}, 1),
		followWake:   make(chan struct{}, 1),
		loaded:       make(chan struct{}),
		reload:       make(chan struct{}, 1),
		detector:     quarantine.NewDetector(),
		list:         quarantine.NewList(),
		role:         alone,
		reportedAt:   make(map[reportKey]time.Time),
		suspects:     make(map[string]bool),
		own:          make(map[string]bool),
		active:       make(map[string]bool),
		unsaved:      make(map[string]bool),
		saved:        make(map[string]quarantine.Entry),
		pulses:       make(map[quarantine.Incarnation]*pulse),
	}
	g.view.Store(&view{})
	return g
}

// Loops returns the background loops.
func (g *Guard) Loops() []func(context.Context) error {
	return []func(context.Context) error{g.publish, g.tick, g.follow, g.load, g.save}
}

// Quarantined implements dispatch.SectionGuard.
func (g *Guard) Quarantined(sections []dispatch.PromptSection) (id string, ok bool) {
	v := g.view.Load()
	if len(v.quarantined) == 0 {
		return "", false
	}
	for _, section := range shared(sections) {
		if entry := v.quarantined[sectionKey(section.ID)]; entry != nil {
			entry.requestedAt.Store(g.Clock.Now().UnixMilli())
			g.Metrics.refused.Inc()
			return section.ID, true
		}
	}
	return "", false
}

// Suspected implements dispatch.SectionGuard.
func (g *Guard) Suspected(sections []dispatch.PromptSection) bool {
	v := g.view.Load()
	return len(v.suspects) > 0 &&
		slices.ContainsFunc(shared(sections), func(s dispatch.PromptSection) bool { return v.suspects[sectionKey(s.ID)] })
}

// RecordStrike implements dispatch.SectionGuard.
func (g *Guard) RecordStrike(runner *roster.Runner, sections []dispatch.PromptSection, p quarantine.Progress, at time.Time) {
	keys := sectionKeys(shared(sections))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	incarnation := incarnationOf(runner)
	g.strikeEnds(incarnation, now)
	if p.MayCrash(at) && len(keys) > 0 {
		named, depths := g.mostTelling(keys)
		g.addStrike(p.Strike(incarnation, named, at).WithDepths(depths), now)
		g.struck.add(keys, now)
	}
}

// addStrike handles a strike of this VM.
func (g *Guard) addStrike(strike quarantine.Strike, now time.Time) {
	g.Metrics.strikes.Inc()
	g.recent = append(g.recent, strike)
	if len(g.recent) > maxRecentStrikes {
		g.recent = slices.Delete(g.recent, 0, 1)
	}
	g.followed = append(g.followed, strike)
	signal(g.followWake)
	g.updateRole(now)
	g.report(quarantine.Evidence{}.WithStrike(strike, now))
	g.record(strike, now)
	g.judge(now)
	g.refresh(now)
	signal(g.wake)
}

// incarnationOf returns the incarnation of a registered runner.
func incarnationOf(runner *roster.Runner) quarantine.Incarnation {
	return quarantine.Incarnation{
		Runner: runner.ID,
		Number: runner.Incarnation,
	}
}

// RecordAnswer implements dispatch.SectionGuard.
func (g *Guard) RecordAnswer(sections []dispatch.PromptSection, p quarantine.Progress) {
	sections = shared(sections)
	if p.Sound() {
		g.answered.add(sectionKeys(sections), g.Clock.Now())
	}
	g.remember(p.Success(sectionKeys(sample(sections, maxRemembered))))
	matter := g.view.Load().ofMatter(sections)
	if len(matter) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportSuccess(p.Success(retained(matter)), g.Clock.Now())
}

// addSuccess handles a success of this VM.
func (g *Guard) addSuccess(success quarantine.Success, now time.Time) {
	g.remember(success)
	g.reportSuccess(success, now)
}

// remember notes until when the sections of a success were known to be sound.
func (g *Guard) remember(success quarantine.Success) {
	g.begun.record(success.Sections, success.SoundAt())
	if success.Proven {
		g.proven.record(success.Sections, success.SoundAt())
	}
}

// reportSuccess handles a success if it matters and has not been reported for a while.
func (g *Guard) reportSuccess(success quarantine.Success, now time.Time) {
	if !g.reportDue(success, g.view.Load(), now) {
		return
	}
	g.updateRole(now)
	g.report(quarantine.Evidence{}.WithSuccess(success, now))
	g.release(g.detector.Success(success), reasonAnswered, now)
	signal(g.wake)
}

// reportKind is what is reported of a section.
type reportKind int

const (
	begunReport reportKind = iota
	provenReport
	requestReport
)

// reportKey identifies the reports of one kind of a section.
type reportKey struct {
	section string
	kind    reportKind
}

// reportDue reports whether a success with one of its sections matters and has not been reported for a while.
func (g *Guard) reportDue(success quarantine.Success, v *view, now time.Time) bool {
	due := false
	for _, section := range success.Sections {
		key := reportKey{
			section: section,
			kind:    begunReport,
		}
		if success.Proven {
			key.kind = provenReport
		}
		if v.matters(section) && now.Sub(g.reportedAt[key]) >= reportInterval {
			g.reportedAt[key] = now
			due = true
		}
	}
	return due
}
