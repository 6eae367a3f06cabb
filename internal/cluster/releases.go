package cluster

import (
	"github.com/cowsliparch/cowsliparch/internal/origin"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// BroadcastChanges sends single registrations that were read from the store to every linked VM.
func (h *Hub) BroadcastChanges(changes []roster.Change) { h.broadcast(changesFrame(changes)) }

// SendOrigins reports the releases that began streams to the lease holder, and returns false if there is no link to it.
func (s *Spoke) SendOrigins(batches []origin.Batch) bool { return s.trySend(frame{Origins: batches}) }

// SendStarts reports streams that began while their service had a single release to the lease holder, if there is a link to it.
func (s *Spoke) SendStarts(batches []origin.Batch) { _ = s.trySend(frame{Starts: batches}) }

func (s *Spoke) trySend(f frame) bool {
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	return link != nil && link.TrySend(f)
}

// Linked reports whether there is a link to the lease holder or to another VM.
func (s *Spoke) Linked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link != nil && s.clock.Since(s.lastHeartbeat) <= heartbeatTimeout
}

// runnersFrame returns a frame with registrations and their releases.
func runnersFrame(runners []roster.Runner) frame {
	f := frame{Runners: runners}
	for i := range runners {
		f.addRelease(i, runners[i].Release)
	}
	return f
}

// changesFrame returns a frame with changes of registrations and their releases.
func changesFrame(changes []roster.Change) frame {
	f := frame{Changes: changes}
	for i, change := range changes {
		if change.Runner != nil {
			f.addRelease(i, change.Runner.Release)
		}
	}
	return f
}

// addRelease adds the release of the entry with an index. Entries before it without one have an empty one.
func (f *frame) addRelease(i int, release string) {
	if release == "" {
		return
	}
	for len(f.Releases) < i {
		f.Releases = append(f.Releases, "")
	}
	f.Releases = append(f.Releases, release)
}

// withReleases puts the releases of a received frame into its registrations.
func withReleases(runners []roster.Runner, releases []string) []roster.Runner {
	for i := range min(len(runners), len(releases)) {
		runners[i].Release = releases[i]
	}
	return runners
}

// changesWithReleases puts the releases of a received frame into its changes.
func changesWithReleases(changes []roster.Change, releases []string) []roster.Change {
	for i := range min(len(changes), len(releases)) {
		if changes[i].Runner != nil {
			changes[i].Runner.Release = releases[i]
		}
	}
	return changes
}
