package cluster

import (
	"hash/maphash"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/framelink"
)

const (
	// maxProxies is how many VMs a list names at most, half of them of the region of the VM that it is for if there are enough.
	maxProxies = 16
	// proxiesInterval is the pause between two lists that don't differ.
	proxiesInterval = time.Second
	// settleTime is how long a VM must have held the lease to know which VMs are linked to it.
	settleTime = time.Second
)

// ProxyVM tells whether this VM reaches the runners, and handles the list of those that do.
type ProxyVM interface {
	// CutOff reports whether this VM reaches no runner.
	CutOff() bool
	// Stopping reports whether a graceful stop has begun.
	Stopping() bool
	// ProxyingEnded reports whether a graceful stop has come so far that no request of another VM is taken.
	ProxyingEnded() bool
	// Region returns the region of a failure domain.
	Region(failureDomain string) string
	// ReceiveProxies handles the lease holder's list, which may be empty, of VMs through which this one may send requests.
	ReceiveProxies(vms []Member)
}

// proxyList names VMs that reach the runners and take requests of other VMs.
type proxyList struct {
	VMs []Member
}

// reachReport is what a VM last reported of its connections to the runners.
type reachReport struct {
	at            time.Time
	cutOff        bool
	stopping      bool
	proxyingEnded bool
}

// reaches reports whether the VM reaches the runners and goes on doing so.
func (r reachReport) reaches(now time.Time) bool { return r.serves(now) && !r.stopping }

// serves reports whether the VM reaches the runners and takes requests, maybe not for long.
func (r reachReport) serves(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) <= usageTTL && !r.cutOff && !r.proxyingEnded
}

// sentProxies is the list that was last sent on a link.
type sentProxies struct {
	list []Member
	at   time.Time
}

// recordReach records whether a VM reaches the runners. While it does not, it is sent the VMs that do.
func (h *Hub) recordReach(s *session, report *usageReport) {
	now := h.clock.Now()
	h.mu.Lock()
	s.reach = reachReport{
		at:            now,
		cutOff:        report.CutOff,
		stopping:      report.Stopping,
		proxyingEnded: report.ProxyingEnded,
	}
	if !report.CutOff {
		s.sentProxies = sentProxies{}
	}
	member := s.member
	h.mu.Unlock()
	settled := h.settled(now)
	if !report.CutOff || member == nil || !settled {
		return
	}
	list := h.proxiesFor(*member)
	h.mu.Lock()
	due := s.sentProxies.at.IsZero() || now.Sub(s.sentProxies.at) >= proxiesInterval || !slices.Equal(list, s.sentProxies.list)
	if due {
		s.sentProxies = sentProxies{
			list: list,
			at:   now,
		}
	}
	h.mu.Unlock()
	if due {
		_ = s.link.TrySend(frame{Proxies: &proxyList{VMs: list}})
	}
}

// settled reports whether this VM has held the lease for long enough that the other VMs are linked to it.
func (h *Hub) settled(now time.Time) bool {
	holds := h.local.HoldsLease()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !holds {
		h.heldSince = time.Time{}
		return false
	}
	if h.heldSince.IsZero() {
		h.heldSince = now
	}
	return now.Sub(h.heldSince) >= settleTime
}

// Proxies returns VMs through which this one may send requests while it holds the lease.
func (h *Hub) Proxies() []Member { return h.proxiesFor(h.self) }

// ReachingVMLinked reports whether a linked VM reaches the runners.
func (h *Hub) ReachingVMLinked() bool {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.sessions {
		if s.reach.reaches(now) {
			return true
		}
	}
	return false
}

// proxiesFor returns VMs through which a VM may send requests. Its choice differs from VM to VM, but hardly from one time to the next.
func (h *Hub) proxiesFor(vm Member) []Member {
	candidates := slices.DeleteFunc(h.proxies(), func(m Member) bool { return m.Name == vm.Name })
	rank := func(m Member) uint64 {
		return maphash.Comparable(h.seed, [3]string{vm.Name, m.Name, m.Incarnation})
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	if len(candidates) <= maxProxies {
		return candidates
	}
	region := h.local.Region(vm.FailureDomain)
	chosen := make([]Member, 0, maxProxies)
	others := make([]Member, 0, len(candidates))
	for _, m := range candidates {
		if len(chosen) < maxProxies/2 && h.local.Region(m.FailureDomain) == region {
			chosen = append(chosen, m)
		} else {
			others = append(others, m)
		}
	}
	return append(chosen, others[:maxProxies-len(chosen)]...)
}

// proxies returns this VM and the linked ones, as far as they take requests of other VMs and reach the runners. VMs that stop are among them
// only if there is no other.
func (h *Hub) proxies() []Member {
	now := h.clock.Now()
	self := reachReport{
		at:            now,
		cutOff:        h.local.CutOff(),
		stopping:      h.local.Stopping(),
		proxyingEnded: h.local.ProxyingEnded(),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	reports := map[Member]reachReport{h.self: self}
	for s := range h.sessions {
		if s.member != nil && (s.reach.serves(now) || !reports[*s.member].serves(now)) {
			reports[*s.member] = s.reach
		}
	}
	var staying, stopping []Member
	for m, report := range reports {
		switch {
		case !m.TakesProxied:
		case report.reaches(now):
			staying = append(staying, m)
		case report.serves(now):
			stopping = append(stopping, m)
		}
	}
	if len(staying) > 0 {
		return staying
	}
	return stopping
}

// newUsageReport returns this VM's report to the lease holder. An empty report is sent too, because a VM without a report can't be taken
// to be idle.
func (s *Spoke) newUsageReport() *usageReport {
	return &usageReport{
		Version:       s.local.ConfigurationVersion(),
		Occupancy:     s.local.Occupancy(),
		Uses:          s.local.ModelsInUse(),
		Paces:         s.local.TakeSeenPaces(),
		Brittle:       s.local.BrittlenessReceived(),
		Quota:         s.local.QuotaReport(),
		CutOff:        s.local.CutOff(),
		Stopping:      s.local.Stopping(),
		ProxyingEnded: s.local.ProxyingEnded(),
	}
}

// receiveProxies handles a list of the lease holder.
func (s *Spoke) receiveProxies(link *framelink.Link[frame], list *proxyList) {
	s.mu.Lock()
	current := s.link == link
	s.mu.Unlock()
	if current {
		s.local.ReceiveProxies(list.VMs)
	}
}
