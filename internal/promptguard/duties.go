package promptguard

import (
	"context"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

const (
	// tickInterval is the pause between two rounds of duties that depend on time.
	tickInterval = time.Second
	// requestReportInterval is the pause between two reports that requests with a section arrive.
	requestReportInterval = time.Minute
)

// tick runs the duties that depend on time until the context ends.
func (g *Guard) tick(ctx context.Context) error {
	for {
		if !pause.For(ctx, g.Clock, tickInterval) {
			return nil
		}
		g.runDuties()
	}
}

func (g *Guard) runDuties() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.updateRole(now)
	g.recordRequests(now)
	g.paroleExpired(now)
	switch g.role {
	case holder:
		g.findLiving(now)
		g.renewSaved(now)
		signal(g.wake)
	case linked:
		g.dropOverruled(now)
	}
	g.begun.expire(now)
	g.proven.expire(now)
	for key, at := range g.reportedAt {
		if now.Sub(at) > requestReportInterval {
			delete(g.reportedAt, key)
		}
	}
	g.refresh(now)
}

// recordRequests extends the quarantine of sections that are still requested.
func (g *Guard) recordRequests(now time.Time) {
	var requested []string
	for section, entry := range g.view.Load().quarantined {
		at := time.UnixMilli(entry.requestedAt.Load())
		if now.Sub(at) > requestReportInterval {
			continue
		}
		g.list.Requested(section, at)
		key := reportKey{
			section: section,
			kind:    requestReport,
		}
		if now.Sub(g.reportedAt[key]) >= requestReportInterval {
			g.reportedAt[key] = now
			requested = append(requested, section)
		}
	}
	if len(requested) > 0 {
		g.report(quarantine.Evidence{Requested: requested})
	}
}

// paroleExpired ends the quarantine of sections that were not requested for long enough.
func (g *Guard) paroleExpired(now time.Time) {
	for section, checked := range g.view.Load().quarantined {
		entry, known := g.list.Entry(section)
		if !known {
			entry = quarantine.Entry{
				Section:     section,
				Convictions: 1,
				RequestedAt: time.UnixMilli(checked.requestedAt.Load()),
			}
		}
		if !entry.Released() && !entry.ActiveAt(now) {
			g.detector.Parole(section, now)
			g.logReleased(section, reasonExpired)
		}
	}
}

// dropOverruled drops convictions of this VM that the lease holder, who has the evidence of all VMs, does not share.
func (g *Guard) dropOverruled(now time.Time) {
	overruled := make(map[string]bool)
	for _, section := range g.detector.Convictions() {
		if g.list.ActiveAt(section, now) {
			continue
		}
		if !g.overruled[section] {
			// The holder may not have decided yet.
			overruled[section] = true
			continue
		}
		g.detector.Release(section)
		g.logReleased(section, reasonPeer)
	}
	g.overruled = overruled
}
