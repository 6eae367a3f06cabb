package mesh

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/framelink"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// Path is where links are taken.
	Path = "/link"
	// pulseInterval is the pause between two pulses on a link.
	pulseInterval = 500 * time.Millisecond
	// linkSilence is after how long without a frame a link that another VM opened is given up.
	linkSilence = 2 * time.Second
)

// Host is the side of links that other VMs opened.
type Host struct {
	self  Member
	local Local
	clock clockwork.Clock
	bytes atomic.Uint64
	// census takes in the accounts of occupancy, if there is one.
	census atomic.Pointer[Census]

	mu       sync.Mutex
	sessions map[*session]bool
	// joined counts the changes of the members.
	joined int
}

// session is one link that another VM opened.
type session struct {
	link *framelink.Link[frame]
	// member is set by the first frame, heard is when the last one came; the host's lock guards them.
	member *Member
	heard  time.Time
	// told is the count of changes up to which the other side was told the members.
	told int
}

// NewHost returns a host without links.
func NewHost(self Member, local Local, clock clockwork.Clock) *Host {
	return &Host{
		self:     self,
		local:    local,
		clock:    clock,
		sessions: make(map[*session]bool),
	}
}

// ServeHTTP takes a link until it ends.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, link, ok := framelink.Accept[frame](w, r, &h.bytes)
	if !ok {
		return
	}
	defer link.Close()
	s := &session{
		link:  link,
		heard: h.clock.Now(),
	}
	h.mu.Lock()
	h.sessions[s] = true
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.sessions, s)
		h.joined++
	}()
	go h.beat(ctx, s)
	for {
		f, err := link.Read(ctx)
		if err != nil {
			return
		}
		h.handle(s, f)
	}
}

func (h *Host) beat(ctx context.Context, s *session) {
	for {
		if h.silent(s) || !s.link.TrySend(frame{Pulse: h.pulseTo(s)}) {
			s.link.Close()
			return
		}
		if !pause.For(ctx, h.clock, pulseInterval) {
			return
		}
	}
}

func (h *Host) silent(s *session) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Since(s.heard) > linkSilence
}

// pulseTo returns a pulse for one link, with the members if the other side does not know them yet.
func (h *Host) pulseTo(s *session) *pulse {
	p := h.pulse()
	h.mu.Lock()
	joined := h.joined
	h.mu.Unlock()
	if p.Holds && s.told != joined {
		p.Members = h.Members()
		s.told = joined
	}
	return p
}

func (h *Host) pulse() *pulse {
	next, resigned := h.local.Lease()
	return &pulse{
		Holds:    h.local.Holds(),
		Version:  h.local.Version(),
		StoreOut: h.local.StoreOut(),
		Lease:    next,
		Resigned: resigned,
	}
}

func (h *Host) handle(s *session, f frame) {
	h.mu.Lock()
	s.heard = h.clock.Now()
	h.mu.Unlock()
	switch {
	case f.Hello != nil:
		h.mu.Lock()
		s.member = f.Hello
		h.joined++
		h.mu.Unlock()
	case f.Missing != nil:
		h.local.Missing(f.Missing.Service, f.Missing.Model, f.Missing.Adapter)
	case f.Ask != nil:
		h.answer(s, f.Ask)
	case f.Demand != nil:
		if name, ok := h.sender(s); ok {
			h.local.Demand(name, f.Demand)
		}
	case f.Account != nil:
		if name, ok := h.sender(s); ok {
			h.count(name, *f.Account)
		}
		askNewer(s.link, h.local, f.Account.Version)
	case f.Configuration != nil:
		h.local.TakeConfiguration(f.Configuration)
		h.Pulse()
	}
}

func (h *Host) count(vm string, a account) {
	if census := h.census.Load(); census != nil {
		census.take(vm, a)
	}
}

// sender returns the name of the VM at the other side, once it has told it.
func (h *Host) sender(s *session) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.member == nil {
		return "", false
	}
	return s.member.Name, true
}

func (h *Host) answer(s *session, a *ask) {
	giveNewer(s.link, h.local, a)
	if a.Runners && !h.local.StoreOut() {
		_ = s.link.TrySend(frame{Runners: h.local.Runners()})
	}
}

// announce tells every linked VM facts about runners.
func (h *Host) announce(facts []orders.Holding) { h.broadcast(frame{Holding: facts}) }

// Forward tells every linked VM what was read of single registrations.
func (h *Host) Forward(changes []roster.Change) { h.broadcast(frame{Changes: changes}) }

// Pulse tells every linked VM at once what this one is.
func (h *Host) Pulse() { h.broadcast(frame{Pulse: h.pulse()}) }

// broadcast sends a frame on every link; one that is full is closed, as the other side would go by what it missed.
func (h *Host) broadcast(f frame) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.sessions {
		if !s.link.TrySend(f) {
			s.link.Close()
		}
	}
}

// Members returns this VM and those linked to it.
func (h *Host) Members() []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	members := []Member{h.self}
	for s := range h.sessions {
		if s.member != nil {
			members = append(members, *s.member)
		}
	}
	return members
}

// Size returns how many VMs Members lists.
func (h *Host) Size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 1
	for s := range h.sessions {
		if s.member != nil {
			n++
		}
	}
	return n
}

// Bytes returns how many bytes passed on the links that others opened.
func (h *Host) Bytes() uint64 { return h.bytes.Load() }
