package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// With figures that are 0.8 s apart, requests for a popular model must reach their first token in time nearly as often as with
// full knowledge of every runner's queue; the brief asks for 0.95 of that with old reports.
func TestOldFiguresServeNearlyAsWellAsFullKnowledge(t *testing.T) {
	for name, change := range map[string]func(*replayPattern){
		"steady": func(*replayPattern) {},
		"burst of twice": func(p *replayPattern) {
			p.load, p.surge, p.surgeFrom, p.surgeTo = 0.4, 2, 10*time.Second, 16*time.Second
		},
		"a third are slow": func(p *replayPattern) { p.load, p.slowShare = 0.35, 0.33 },
		"few replicas":     func(p *replayPattern) { p.runnersPerDomain = 1 },
		"many replicas":    func(p *replayPattern) { p.runnersPerDomain = 8 },
		"short requests":   func(p *replayPattern) { p.serviceTime = 200 * time.Millisecond },
		"small fleet":      func(p *replayPattern) { p.vms, p.totalsInterval = 9, 218*time.Millisecond },
		"light load":       func(p *replayPattern) { p.load = 0.2 },
		"two domains":      func(p *replayPattern) { p.domains, p.runnersPerDomain = 2, 6 },
	} {
		t.Run(name, func(t *testing.T) {
			pattern := largeFleet
			change(&pattern)
			for seed := range uint64(2) {
				oracle := newReplay(pattern, seed)
				oracle.chooseWithFullKnowledge()
				best, got := oracle.run(), newReplay(pattern, seed).run()
				t.Logf("full knowledge: %v", best)
				t.Logf("old figures:    %v", got)
				require.GreaterOrEqual(t, float64(got.inTime)/float64(got.asked), 0.95*float64(best.inTime)/float64(best.asked))
			}
		})
	}
}

// lateWorth is what a late answer is worth relative to one in time, from the users' sheet.
const lateWorth = 0.3

// worth is the worth of all answers per request asked.
func (r replayResult) worth() float64 { return r.share(r.inTime) + lateWorth*r.share(r.late) }

// While more requests arrive than the runners of a model can process, those that are sent must get their first token in time: more
// callers are answered in time than if all were sent, the answers are worth more, and the runners stay nine tenths as busy.
func TestOverloadedRunnersAnswerInTime(t *testing.T) {
	for name, change := range map[string]func(*replayPattern){
		"demand moves to a model": func(p *replayPattern) {
			p.load, p.surge, p.surgeFrom, p.surgeTo = 0.5, 5, 8*time.Second, 18*time.Second
		},
		"two replicas":             func(p *replayPattern) { p.domains, p.runnersPerDomain, p.load = 2, 1, 3 },
		"persistent overload":      func(p *replayPattern) { p.load = 2 },
		"small fleet, overloaded":  func(p *replayPattern) { p.vms, p.totalsInterval, p.load = 9, 218*time.Millisecond, 2 },
		"a third of them are slow": func(p *replayPattern) { p.load, p.slowShare = 1.5, 0.33 },
	} {
		t.Run(name, func(t *testing.T) {
			pattern := largeFleet
			pattern.leaveAfter = 2400 * time.Millisecond
			pattern.serviceTime = 1500 * time.Millisecond
			change(&pattern)
			for seed := range uint64(2) {
				all := pattern
				all.sendAll = true
				before, got := newReplay(all, seed).run(), newReplay(pattern, seed).run()
				t.Logf("all sent: %v", before)
				t.Logf("got:      %v", got)
				require.Greater(t, got.share(got.inTime), before.share(before.inTime))
				require.Greater(t, got.worth(), before.worth())
				require.GreaterOrEqual(t, got.share(got.inTime+got.late), 0.9*before.share(before.inTime+before.late))
			}
		})
	}
}
