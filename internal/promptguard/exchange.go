package promptguard

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

const (
	// batchDelay is how long changes are collected before they are broadcast, and broadcastInterval the pause after a broadcast.
	batchDelay        = 20 * time.Millisecond
	broadcastInterval = 80 * time.Millisecond
	// oldEvidence is the age beyond which strikes are judged only after replayDelay, in which answers that clear their sections
	// arrive. takeoverDelay is the same for a new lease holder, to which the VMs have to open links first.
	oldEvidence   = 500 * time.Millisecond
	replayDelay   = 700 * time.Millisecond
	takeoverDelay = 1200 * time.Millisecond
	// requestedStep is how much later the last request with a section must be for its record to be broadcast again.
	requestedStep = 2 * time.Minute
)

// report sends evidence to the lease holder, if that is another VM.
func (g *Guard) report(e quarantine.Evidence) {
	if g.role != holder {
		g.Peers.SendEvidence(e)
	}
}

// Evidence returns what a lease holder to which a link was just opened may lack.
func (g *Guard) Evidence() quarantine.Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	e := quarantine.Evidence{
		Sound:       g.begun.ages(g.begun.newest(), now),
		ProvenSound: g.proven.ages(g.proven.newest(), now),
		Entries:     quarantine.ReportEntries(g.list.Entries(now), now),
	}
	for _, strike := range g.recent {
		if now.Sub(strike.At) <= recentTTL || slices.ContainsFunc(strike.Sections, g.detector.Convicted) {
			e = e.WithStrike(strike, now)
		}
	}
	return e
}

// ReceiveEvidence handles evidence of another VM.
func (g *Guard) ReceiveEvidence(e quarantine.Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.updateRole(now)
	for _, report := range e.Entries {
		g.merge(report.Entry(now), now)
	}
	for _, success := range e.ReceivedSuccesses(now) {
		g.release(g.detector.Success(success), reasonAnswered, now)
	}
	g.recordSound(e.Sound, false, now)
	g.recordSound(e.ProvenSound, true, now)
	g.judge(now)
	for _, strike := range e.ReceivedStrikes(now) {
		if now.Sub(strike.At) > oldEvidence && !now.Before(g.judgeAt) {
			g.deferJudgment(replayDelay, now)
		}
		g.record(strike, now)
	}
	g.judge(now)
	for _, report := range e.Running {
		incarnation, at := report.Running(now)
		g.release(g.detector.Alive(incarnation, at), reasonAlive, now)
	}
	for _, section := range e.Requested {
		g.list.Requested(section, now)
	}
	signal(g.wake)
}

// Status returns what a VM that just opened a link to this one may lack.
func (g *Guard) Status() quarantine.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	watched, suspects := g.detector.Watched(now)
	return quarantine.Status{
		Watched:  watched,
		Suspects: suspects,
		Entries:  quarantine.ReportEntries(g.list.Entries(now), now),
	}
}

// ReceiveStatus handles the decisions of the lease holder.
func (g *Guard) ReceiveStatus(s quarantine.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.holderLink, _ = g.Peers.LinkedToHolder()
	g.updateRole(now)
	g.reportKnownSound(s.Watched, now)
	g.fromHolder = s
	for _, report := range s.Entries {
		g.merge(report.Entry(now), now)
	}
	g.refresh(now)
}

// reportKnownSound reports what this VM remembers of sections that are watched from now on.
func (g *Guard) reportKnownSound(watched []string, now time.Time) {
	before := setOf(g.fromHolder.Watched)
	added := slices.DeleteFunc(slices.Clone(watched), func(section string) bool { return before[section] })
	known := quarantine.Evidence{
		Sound:       g.begun.ages(added, now),
		ProvenSound: g.proven.ages(added, now),
	}
	if len(known.Sound) > 0 || len(known.ProvenSound) > 0 {
		g.report(known)
	}
}

// publish applies and broadcasts changes until the context ends.
func (g *Guard) publish(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.wake:
		}
		if !pause.For(ctx, g.Clock, batchDelay) {
			return nil
		}
		if g.publishOnce() && !pause.For(ctx, g.Clock, broadcastInterval) {
			return nil
		}
	}
}

// publishOnce applies changes and reports whether it broadcast any.
func (g *Guard) publishOnce() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.updateRole(now)
	g.judge(now)
	g.refresh(now)
	if g.role != holder {
		return false
	}
	var s quarantine.Status
	s.Watched, s.Suspects = g.detector.Watched(now)
	entries := g.list.Entries(now)
	resend := g.entriesChanged(entries)
	content := fmt.Sprint(s.Watched, s.Suspects)
	if content == g.sent && !resend {
		return false
	}
	if resend {
		s.Entries = quarantine.ReportEntries(entries, now)
		g.sentEntries = make(map[string]quarantine.Entry, len(entries))
		for _, e := range entries {
			g.sentEntries[e.Section] = e
		}
	}
	g.sent = content
	g.Peers.BroadcastQuarantine(s)
	return true
}

// entriesChanged reports whether the records differ so much from those last broadcast that they are due again.
func (g *Guard) entriesChanged(entries []quarantine.Entry) bool {
	for _, e := range entries {
		sent, known := g.sentEntries[e.Section]
		if !known || e.Released() != sent.Released() || e.Convictions != sent.Convictions || e.RequestedAt.Sub(sent.RequestedAt) >= requestedStep {
			return true
		}
	}
	return false
}

// signal wakes a loop that waits on a channel.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
