package cluster

import (
	"slices"
	"strings"

	"github.com/cowsliparch/cowsliparch/internal/origin"
)

// startKeepers is how many VMs keep streams besides the lease holder and the VM that began them.
const startKeepers = 2

// keepers are linked VMs that keep streams in case the lease holder is lost.
type keepers struct {
	sessions []*session
	// version is that of the members among which they were chosen.
	version int
}

// SendStarts has some linked VMs keep streams of this one that began while their service had a single release.
func (h *Hub) SendStarts(batches []origin.Batch) { h.sendToKeepers(nil, frame{Starts: batches}) }

// SendLogged has some linked VMs keep streams that this VM has appended to the log.
func (h *Hub) SendLogged(batches []origin.Batch) { h.sendToKeepers(nil, frame{Logged: batches}) }

// sendToKeepers sends streams to keepers other than the VM that reported them.
func (h *Hub) sendToKeepers(from *session, f frame) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.keepers.version != h.membersVersion {
		h.keepers = keepers{
			sessions: h.chooseKeepers(),
			version:  h.membersVersion,
		}
	}
	sent := 0
	for _, s := range h.keepers.sessions {
		if s != from && sent < startKeepers {
			_ = s.link.TrySend(f)
			sent++
		}
	}
}

// chooseKeepers returns one VM more than are needed, as one of them may have reported the streams. They are of different failure domains if
// possible, and the same ones as before as far as they are linked; the caller holds the lock.
func (h *Hub) chooseKeepers() []*session {
	var linked []*session
	for s := range h.sessions {
		if s.member != nil {
			linked = append(linked, s)
		}
	}
	slices.SortFunc(linked, func(a, b *session) int { return strings.Compare(a.member.Name, b.member.Name) })
	seen := map[string]bool{h.self.FailureDomain: true}
	var chosen, others []*session
	for _, s := range linked {
		if domain := s.member.FailureDomain; !seen[domain] {
			seen[domain] = true
			chosen = append(chosen, s)
		} else {
			others = append(others, s)
		}
	}
	chosen = append(chosen, others...)
	return chosen[:min(len(chosen), startKeepers+1)]
}
