package cluster

import (
	"context"
	"hash/maphash"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/framelink"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/quota"
)

const (
	// Path is the HTTP path on which links are accepted.
	Path = "/link"
	// heartbeatInterval is the pause between two heartbeats on a link.
	heartbeatInterval = 500 * time.Millisecond
	// linkTimeout is how long an accepted link may receive no frame before it is closed.
	linkTimeout = 2 * time.Second
	// memberSampleSize is how many members a heartbeat lists at most: enough to find one that still runs after the holder failed.
	memberSampleSize = 8
)

// Hub serves the links that other VMs open to this one.
type Hub struct {
	self  Member
	local LocalVM
	clock clockwork.Clock
	bytes atomic.Uint64
	// seed makes the choice of proxies random.
	seed maphash.Seed
	// aggregator receives the usage reports; nil if there is none.
	aggregator atomic.Pointer[UsageAggregator]

	mu       sync.Mutex
	sessions map[*session]bool
	// membersVersion counts the changes of the membership.
	membersVersion int
	keepers        keepers
	// heldSince is when this VM was first seen to hold the lease, zero while it does not.
	heldSince time.Time
}

// session is a link that another VM opened.
type session struct {
	link *framelink.Link[frame]
	// member is set by the first frame, and lastReceived is when the newest frame arrived; the hub's mutex guards both.
	member       *Member
	lastReceived time.Time
	// sentMembersVersion is the version of the members that were last sent on this link.
	sentMembersVersion int
	// sentPaces is set once all known paces were sent on this link; the hub's mutex guards it.
	sentPaces bool
	// reach and sentProxies are guarded by the hub's mutex.
	reach       reachReport
	sentProxies sentProxies
}

// NewHub returns a hub without links.
func NewHub(self Member, local LocalVM, clock clockwork.Clock) *Hub {
	return &Hub{
		self:     self,
		local:    local,
		clock:    clock,
		seed:     maphash.MakeSeed(),
		sessions: make(map[*session]bool),
	}
}

// ServeHTTP accepts a link and serves it until it ends.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, link, ok := framelink.Accept[frame](w, r, &h.bytes)
	if !ok {
		return
	}
	defer link.Close()
	s := &session{
		link:         link,
		lastReceived: h.clock.Now(),
	}
	h.mu.Lock()
	h.sessions[s] = true
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.sessions, s)
		h.membersVersion++
	}()
	go h.sendHeartbeats(ctx, s)
	for {
		f, err := link.Read(ctx)
		if err != nil {
			return
		}
		h.handle(ctx, s, f)
	}
}

func (h *Hub) sendHeartbeats(ctx context.Context, s *session) {
	for {
		if h.timedOut(s) || !s.link.TrySend(frame{Heartbeat: h.heartbeatFor(s)}) {
			s.link.Close()
			return
		}
		if !pause.For(ctx, h.clock, heartbeatInterval) {
			return
		}
	}
}

func (h *Hub) timedOut(s *session) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Since(s.lastReceived) > linkTimeout
}

// heartbeatFor returns a heartbeat for one link, with the members if they changed since they were last sent on it.
func (h *Hub) heartbeatFor(s *session) *heartbeat {
	beat := h.heartbeat()
	h.mu.Lock()
	version := h.membersVersion
	h.mu.Unlock()
	if beat.HoldsLease && s.sentMembersVersion != version {
		beat.Members = h.membersFor(s)
		s.sentMembersVersion = version
	}
	return beat
}

func (h *Hub) heartbeat() *heartbeat {
	next, resigned := h.local.LeaseStatus()
	return &heartbeat{
		HoldsLease:       h.local.HoldsLease(),
		Fence:            h.local.HeldFence(),
		Version:          h.local.ConfigurationVersion(),
		StoreUnavailable: h.local.StoreUnavailable() || h.local.ReadsOverdue(),
		MemberCount:      h.MemberCount(),
		LeaseOffset:      next.Offset,
		LeaseEra:         next.Era,
		ResignedFence:    resigned,
	}
}

func (h *Hub) handle(ctx context.Context, s *session, f frame) {
	h.mu.Lock()
	s.lastReceived = h.clock.Now()
	h.mu.Unlock()
	switch {
	case f.Hello != nil:
		h.mu.Lock()
		s.member = f.Hello
		h.membersVersion++
		h.mu.Unlock()
		status := h.local.QuarantineStatus()
		_ = s.link.TrySend(frame{Quarantine: &status})
	case f.Evidence != nil:
		h.local.ReceiveEvidence(*f.Evidence)
	case f.Origins != nil:
		h.local.ReceiveOrigins(f.Origins)
	case f.Starts != nil:
		h.local.ReceiveStarts(f.Starts)
		h.sendToKeepers(s, frame{Starts: f.Starts})
	case f.CensusRequest > 0:
		go h.replyCensus(ctx, s, f.CensusRequest)
	case f.MissingModel != nil:
		h.local.ReceiveMissingModel(f.MissingModel.Service, f.MissingModel.Model, f.MissingModel.Adapter)
	case f.Request != nil:
		h.handleRequest(s, f.Request)
	case f.Demand != nil:
		if name, ok := h.memberName(s); ok {
			h.local.ReceiveDemand(name, f.Demand)
		}
	case f.Usage != nil:
		if vm, ok := h.memberRun(s); ok {
			h.recordUsage(vm.Name, *f.Usage)
			h.local.ReceiveQuotaReport(vm, f.Usage.Quota)
		}
		h.recordPaces(f.Usage)
		h.recordBrittleness(f.Usage)
		h.recordReach(s, f.Usage)
		requestNewerConfiguration(s.link, h.local, f.Usage.Version)
	case receiveConfiguration(h.local, f):
		h.BroadcastHeartbeat()
	}
}

func (h *Hub) recordUsage(vm string, report usageReport) {
	if aggregator := h.aggregator.Load(); aggregator != nil {
		aggregator.record(vm, report)
	}
}

// memberName returns the name of the VM that opened the link, once its first frame has arrived.
func (h *Hub) memberName(s *session) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.member == nil {
		return "", false
	}
	return s.member.Name, true
}

// memberRun returns which run of which VM opened the link, once its first frame has arrived.
func (h *Hub) memberRun(s *session) (quota.VM, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.member == nil {
		return quota.VM{}, false
	}
	return quota.VM{
		Name:        s.member.Name,
		Incarnation: s.member.Incarnation,
	}, true
}

func (h *Hub) handleRequest(s *session, request *stateRequest) {
	sendNewerConfiguration(s.link, h.local, request)
	if request.Runners && !h.local.StoreUnavailable() {
		_ = s.link.TrySend(runnersFrame(h.local.Runners()))
	}
}

// broadcastHoldings sends updates on what runners hold to every linked VM.
func (h *Hub) broadcastHoldings(updates []orders.Holding) { h.broadcast(frame{Holdings: updates}) }

// BroadcastQuarantine sends every linked VM what is decided here on prompt sections.
func (h *Hub) BroadcastQuarantine(status quarantine.Status) { h.broadcast(frame{Quarantine: &status}) }

// BroadcastHeartbeat sends every linked VM a heartbeat at once.
func (h *Hub) BroadcastHeartbeat() { h.broadcast(frame{Heartbeat: h.heartbeat()}) }

// broadcast sends a frame on every link. It closes a link whose send queue is full, because the peer would go on with state
// that lacks this frame.
func (h *Hub) broadcast(f frame) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.sessions {
		if !s.link.TrySend(f) {
			s.link.Close()
		}
	}
}

// sendGrants sends each grant on the links of its VM. One that can't be sent is replaced by a later one.
func (h *Hub) sendGrants(grants []quota.Outgoing) {
	byVM := make(map[quota.VM]*quota.Grant, len(grants))
	for _, g := range grants {
		byVM[g.VM] = g.Grant
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.sessions {
		if s.member == nil {
			continue
		}
		vm := quota.VM{
			Name:        s.member.Name,
			Incarnation: s.member.Incarnation,
		}
		if g := byVM[vm]; g != nil {
			_ = s.link.TrySend(frame{Grant: g})
		}
	}
}

// Bytes returns the number of bytes sent and received on links that other VMs opened.
func (h *Hub) Bytes() uint64 { return h.bytes.Load() }
