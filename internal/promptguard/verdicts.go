package promptguard

import (
	"log/slog"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

// role says whose verdicts apply on this VM.
type role int

const (
	// alone means that there is no link to a lease holder, so that this VM's own verdicts apply to its requests.
	alone role = iota
	// linked means that the lease holder's verdicts apply.
	linked
	// holder means that this VM's verdicts apply to the requests of all VMs.
	holder
)

// The reasons for which a section leaves quarantine.
const (
	reasonAnswered = "Answered"
	reasonAlive    = "RunnersAlive"
	reasonExpired  = "Expired"
	reasonPeer     = "Peer"
)

// updateRole finds out whose verdicts apply. A new lease holder makes its own verdicts those of all VMs.
func (g *Guard) updateRole(now time.Time) {
	before := g.role
	link, ok := g.Peers.LinkedToHolder()
	switch {
	case g.Peers.HoldsLease():
		g.role = holder
	case ok && link == g.holderLink:
		g.role = linked
	default:
		g.role = alone
	}
	if g.role != holder {
		return
	}
	tenure := g.Peers.Tenure()
	if before == holder && tenure != g.tenure {
		g.savedKnown = false
		signal(g.reload)
	}
	g.tenure = tenure
	if before != holder {
		g.fromHolder = quarantine.Status{}
		g.sent, g.sentEntries = "", nil
		g.savedKnown = false
		g.deferJudgment(takeoverDelay, now)
		g.convict(g.detector.Convictions(), now)
		signal(g.reload)
		signal(g.wake)
	}
}

// record passes a strike to the detector, with what this VM knows of the sections.
func (g *Guard) record(s quarantine.Strike, now time.Time) {
	g.release(g.detector.Record(s), reasonAlive, now)
	g.recordSound(g.begun.ages(s.Sections, now), false, now)
	g.recordSound(g.proven.ages(s.Sections, now), true, now)
}

// recordSound records how long ago answers with sections began, and whether they were proven to be sound.
func (g *Guard) recordSound(ages map[string]time.Duration, proven bool, now time.Time) {
	for section, age := range ages {
		if validKey(section) && g.detector.Sound(section, now.Add(-max(age, 0)), proven) {
			g.release([]string{section}, reasonAnswered, now)
		}
	}
}

// judge applies the detector's verdicts unless they are deferred.
func (g *Guard) judge(now time.Time) {
	if now.Before(g.judgeAt) {
		return
	}
	convicted, released := g.detector.Judge(now)
	g.release(released, reasonAnswered, now)
	g.convict(convicted, now)
}

// deferJudgment has the next verdicts await what other VMs know.
func (g *Guard) deferJudgment(d time.Duration, now time.Time) {
	g.judgeAt = now.Add(d)
	g.Clock.AfterFunc(d, func() { signal(g.wake) })
}

// convict puts convicted sections in quarantine: for all VMs if this one holds the lease, or only here if it is alone.
func (g *Guard) convict(sections []string, now time.Time) {
	for _, section := range sections {
		if g.list.ActiveAt(section, now) {
			continue
		}
		switch g.role {
		case holder:
			g.list.Convict(section, now)
			g.markUnsaved(section)
		case alone:
			g.own[section] = true
		case linked:
			continue
		}
		g.active[section] = true
		event.SectionQuarantined.Log(g.Logger, slog.String("Section", section), slog.Bool("AllVMs", g.role == holder))
	}
	if len(sections) > 0 {
		g.refresh(now)
	}
}

// release takes sections whose conviction was refuted out of quarantine. On a VM that is linked to the lease holder, the holder
// does so, which has the same evidence.
func (g *Guard) release(sections []string, reason string, now time.Time) {
	for _, section := range sections {
		if g.role == linked && g.list.ActiveAt(section, now) {
			continue
		}
		if g.list.ActiveAt(section, now) {
			g.list.Release(section, now)
			g.markUnsaved(section)
		}
		g.logReleased(section, reason)
	}
	if len(sections) > 0 {
		g.refresh(now)
	}
}

// logReleased logs that a section is no longer in quarantine, if it was.
func (g *Guard) logReleased(section, reason string) {
	delete(g.own, section)
	if g.active[section] {
		delete(g.active, section)
		event.SectionReleased.Log(g.Logger, slog.String("Section", section), slog.String("Reason", reason))
	}
}

// merge adds the record of another VM or of the store.
func (g *Guard) merge(e quarantine.Entry, now time.Time) {
	if !validKey(e.Section) || e.Obsolete(now) {
		return
	}
	g.list.Merge(e, now)
	merged, _ := g.list.Entry(e.Section)
	switch {
	case merged.ActiveAt(now):
		if g.role != holder || !g.detector.Convicted(e.Section) {
			g.detector.Adopt(e.Section, merged.ConvictedAt)
		}
		if !g.active[e.Section] {
			g.active[e.Section] = true
			event.SectionQuarantined.Log(g.Logger, slog.String("Section", e.Section), slog.Bool("AllVMs", true))
		}
	case merged.Released():
		if g.active[e.Section] {
			g.detector.Release(e.Section)
			g.logReleased(e.Section, reasonPeer)
		}
	default:
		g.detector.Parole(e.Section, now)
	}
}

// refresh publishes what requests are checked against.
func (g *Guard) refresh(now time.Time) {
	watched, suspects := g.detector.Watched(now)
	inForce := g.list.Active(now)
	for _, section := range g.detector.Convictions() {
		// What this VM convicted alone stays in quarantine until the lease holder has had time to decide.
		if g.role != linked || g.own[section] {
			inForce = append(inForce, section)
		}
	}
	if g.role == linked {
		watched = append(watched, g.fromHolder.Watched...)
		suspects = g.fromHolder.Suspects
	} else {
		g.logSuspects(suspects)
	}
	before := g.view.Load()
	after := &view{
		quarantined: make(map[string]*quarantined, len(inForce)),
		suspects:    setOf(suspects),
		watched:     setOf(watched),
	}
	for _, section := range inForce {
		entry := before.quarantined[section]
		if entry == nil {
			entry = &quarantined{}
			entry.requestedAt.Store(now.UnixMilli())
		}
		after.quarantined[section] = entry
	}
	g.view.Store(after)
	g.Metrics.quarantined.Set(float64(len(after.quarantined)))
}

// logSuspects logs the sections that have become suspects.
func (g *Guard) logSuspects(suspects []string) {
	for _, section := range suspects {
		if !g.suspects[section] {
			event.SectionSuspected.Log(g.Logger, slog.String("Section", section))
		}
	}
	g.suspects = setOf(suspects)
}
