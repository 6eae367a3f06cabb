package promptguard

import (
	"context"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

const (
	// followInterval is the pause between two looks at the data of incarnations with strikes.
	followInterval = 150 * time.Millisecond
	// dataLag is how long after a crash data that the runner sent before may still arrive, and minRestart the shortest time until
	// its next incarnation sends any.
	dataLag    = 400 * time.Millisecond
	minRestart = time.Second
	// maxFollowed bounds the number of strikes that are followed.
	maxFollowed = 256
	// registrationLag is how long after its end a runner's registrations may still become visible, and crashMemory how long after
	// a crash they are followed.
	registrationLag = 4 * time.Second
	crashMemory     = time.Minute
	// pulsesAlive is the number of rounds with a newer registration that shows that a runner runs.
	pulsesAlive = 2
)

// pulse follows the registrations of an incarnation with strikes.
type pulse struct {
	heartbeat uint64
	// advances counts the rounds in which the heartbeat was newer than in the round before.
	advances int
}

// follow finds incarnations that go on sending data to this VM after a connection broke off, until the context ends.
func (g *Guard) follow(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.followWake:
		}
		for following := true; following; following = g.followOnce() {
			if !pause.For(ctx, g.Clock, followInterval) {
				return nil
			}
		}
	}
}

// followOnce looks for data of the incarnations that are followed, and reports whether there are any left.
func (g *Guard) followOnce() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.updateRole(now)
	var running []quarantine.RunningReport
	g.followed = slices.DeleteFunc(g.followed, func(s quarantine.Strike) bool {
		runs := g.sentDataAfter(s)
		if runs {
			received := g.LastReceived(s.Incarnation.Runner)
			g.release(g.detector.Alive(s.Incarnation, received), reasonAlive, now)
			running = append(running, quarantine.ReportRunning(s.Incarnation, received, now))
		}
		return runs || now.Sub(s.At) > minRestart+followInterval
	})
	if len(g.followed) > maxFollowed {
		g.followed = slices.Delete(g.followed, 0, len(g.followed)-maxFollowed)
	}
	if len(running) > 0 {
		g.report(quarantine.Evidence{Running: running})
		signal(g.wake)
	}
	endsLeft := g.followEnds(now)
	return endsLeft || len(g.followed) > 0
}

// sentDataAfter reports whether the incarnation of a strike went on sending data to this VM.
func (g *Guard) sentDataAfter(s quarantine.Strike) bool {
	received := g.LastReceived(s.Incarnation.Runner)
	return received.After(s.At.Add(dataLag)) && received.Before(s.At.Add(minRestart))
}

// findLiving finds incarnations that go on registering after a connection to them broke off.
func (g *Guard) findLiving(now time.Time) {
	crashed := g.detector.Crashed(now.Add(-crashMemory))
	for incarnation, at := range crashed {
		runner, registered := g.Roster().Runner(incarnation.Runner)
		if !registered || runner.Incarnation != incarnation.Number || now.Sub(at) < registrationLag {
			continue
		}
		known := g.pulses[incarnation]
		if known == nil {
			g.pulses[incarnation] = &pulse{heartbeat: runner.Heartbeat}
			continue
		}
		if runner.Heartbeat > known.heartbeat {
			known.heartbeat = runner.Heartbeat
			known.advances++
		}
		if known.advances >= pulsesAlive {
			g.release(g.detector.Alive(incarnation, at.Add(registrationLag)), reasonAlive, now)
		}
	}
	for incarnation := range g.pulses {
		if _, followed := crashed[incarnation]; !followed {
			delete(g.pulses, incarnation)
		}
	}
}
