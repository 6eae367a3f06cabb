package origin

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// minCensusInterval is the pause between two censuses of one VM, censusIntervalPerVM that between two reads of the store for them by a VM
	// that does not hold the lease, for each VM of the system.
	minCensusInterval   = 50 * time.Millisecond
	censusIntervalPerVM = 5 * time.Millisecond
	// peerCensusTimeout is how long the census of another VM is awaited, peerCountTimeout how long that VM takes for it at most, and
	// countTimeout how long the store is awaited.
	peerCensusTimeout = 400 * time.Millisecond
	peerCountTimeout  = 300 * time.Millisecond
	countTimeout      = time.Second
	// maxObserveGap is the longest time between two looks at the releases without which none of them can have been missed.
	maxObserveGap = 2 * time.Second
)

// Census tells which services have runners of a single release.
type Census struct {
	// Single holds the release of each service that had no other one for as long as a stream may be taken up.
	Single map[string]string
	// Current is set if the registrations were read from the store for this census. Otherwise, it is what a VM knew that could not read
	// them.
	Current bool
}

// Registrations reads the registrations of all runners from the store.
type Registrations func(ctx context.Context) ([]*roster.Runner, error)

// errUninformed is returned if neither the store nor another VM tells the releases.
var errUninformed = errors.New("the releases of the runners can't be learned")

// Count takes a census for another VM. It begins after the call, and is not a Current one if this VM can't read the store.
func (t *Tracker) Count(ctx context.Context) Census {
	ctx, cancel := context.WithTimeout(ctx, peerCountTimeout)
	defer cancel()
	counted, err := t.counts.get(ctx)
	if err != nil {
		return t.census(nil)
	}
	return counted
}

// takeCensus returns the census of the VM to which this one is linked, if that VM can read the store, or counts itself.
func (t *Tracker) takeCensus() (Census, error) {
	peerCtx, cancel := context.WithTimeout(context.Background(), peerCensusTimeout)
	defer cancel()
	received, linked := t.Peers.Census(peerCtx)
	if linked && received.Current {
		return received, nil
	}
	countCtx, cancel := context.WithTimeout(context.Background(), countTimeout)
	defer cancel()
	counted, err := t.counts.get(countCtx)
	switch {
	case err == nil:
		return counted, nil
	case linked:
		return received, nil
	default:
		return Census{}, errUninformed
	}
}

// count reads the registrations and, for what happened while this VM was not looking, the log.
func (t *Tracker) count() (Census, error) {
	ctx, cancel := context.WithTimeout(context.Background(), countTimeout)
	defer cancel()
	runners, err := t.Registrations(ctx)
	if err != nil {
		return Census{}, err
	}
	t.noticeRestore()
	t.observe()
	for !t.historyKnown(t.Clock.Now()) {
		select {
		case read := <-t.reads.DoChan("", func() (any, error) { return nil, t.readPage(ctx, 0) }):
			if read.Err != nil {
				return Census{}, read.Err
			}
		case <-ctx.Done():
			return Census{}, ctx.Err()
		}
	}
	counted := t.census(runners)
	counted.Current = true
	return counted, nil
}

// census returns the census of runners and of those that this VM knew already.
func (t *Tracker) census(runners []*roster.Runner) Census {
	now := t.Clock.Now()
	c := Census{Single: make(map[string]string)}
	runners = slices.AppendSeq(slices.Clip(runners), maps.Values(t.Roster().All()))
	for service, seen := range releasesOf(slices.Values(runners)) {
		if !seen.several && t.single(service, now) {
			c.Single[service] = seen.release
		}
	}
	return c
}

// countInterval returns the pause between two reads of the store for a census.
func (t *Tracker) countInterval() time.Duration {
	if t.Peers.HoldsLease() {
		return minCensusInterval
	}
	return max(minCensusInterval, time.Duration(t.Peers.VMs())*censusIntervalPerVM)
}

// single reports whether the service is known to have had a single release for as long as a stream may be taken up.
func (t *Tracker) single(service string, now time.Time) bool {
	if t.mixes.mixedWithin(service, memory, now) || !t.historyKnown(now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.observedSince) >= memory {
		return true
	}
	return t.registrationsRenewed(now) && now.Sub(t.loggedAt[service]) >= memory
}

// historyKnown reports whether this VM knows which services had several releases while a stream that is taken up now may have begun. Of
// the time before its start, and of a time in which it stood still or was cut off, it knows that from the log only.
func (t *Tracker) historyKnown(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.observedSince) >= memory || !t.readToEnd.Before(t.observedSince)
}

// noteObservation records a look at the releases.
func (t *Tracker) noteObservation(now time.Time) {
	informed, sinceBoot := t.Peers.Informed(), t.BootClock.Elapsed()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !informed || sinceBoot-t.observedAt > maxObserveGap {
		t.observedSince = now
	}
	t.observedAt = sinceBoot
}
