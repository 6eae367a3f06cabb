package promptguard

import (
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// maxEnds bounds the unmarked ends that are remembered, endTTL is for how long they are.
	maxEnds = 256
	endTTL  = 3 * time.Second
)

// unmarkedEnd is the end of an answer that looks complete, although the crash of its runner would look the same. What becomes of the
// runner tells which it was.
type unmarkedEnd struct {
	strike  quarantine.Strike
	success quarantine.Success
}

// RecordUnmarkedEnd implements dispatch.SectionGuard.
func (g *Guard) RecordUnmarkedEnd(runner *roster.Runner, sections []dispatch.PromptSection, p quarantine.Progress, at time.Time) {
	if !p.MayCrash(at) {
		return
	}
	keys := sectionKeys(shared(sections))
	if len(keys) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	named, depths := g.mostTelling(keys)
	g.ends = append(g.ends, unmarkedEnd{
		strike:  p.Strike(incarnationOf(runner), named, at).WithDepths(depths),
		success: p.WithEnd(at).Success(named),
	})
	if len(g.ends) > maxEnds {
		g.ends = slices.Delete(g.ends, 0, 1)
	}
	signal(g.followWake)
}

// RecordUnreachable implements dispatch.SectionGuard.
func (g *Guard) RecordUnreachable(runner *roster.Runner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.strikeEnds(incarnationOf(runner), g.Clock.Now())
}

// strikeEnds takes the last answers that ended at an incarnation for broken off, as it turned out to have crashed.
func (g *Guard) strikeEnds(incarnation quarantine.Incarnation, now time.Time) {
	var broken []quarantine.Strike
	g.ends = slices.DeleteFunc(g.ends, func(e unmarkedEnd) bool {
		if e.strike.Incarnation != incarnation || g.LastReceived(incarnation.Runner).After(e.strike.At.Add(dataLag)) {
			return false
		}
		broken = append(broken, e.strike)
		return true
	})
	for _, strike := range broken {
		g.addStrike(strike, now)
	}
}

// followEnds finds out which answers ended without a crash, as their runner sent data after them. It forgets the oldest ones and
// reports whether there are any left.
func (g *Guard) followEnds(now time.Time) bool {
	var sound []quarantine.Success
	g.ends = slices.DeleteFunc(g.ends, func(e unmarkedEnd) bool {
		runs := g.sentDataAfter(e.strike)
		if runs {
			sound = append(sound, e.success)
		}
		return runs || now.Sub(e.strike.At) > endTTL
	})
	for _, success := range sound {
		g.addSuccess(success, now)
	}
	return len(g.ends) > 0
}
