package mesh

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/framelink"
	"github.com/cowsliparch/cowsliparch/internal/orders"
)

const (
	// Path is where links are taken.
	Path = "/link"
	// pulseInterval is the pause between two pulses on a link.
	pulseInterval = 500 * time.Millisecond
)

// Host is the side of links that other VMs opened.
type Host struct {
	self  Member
	local Local
	clock clockwork.Clock
	bytes atomic.Uint64

	mu       sync.Mutex
	sessions map[*session]bool
}

// session is one link that another VM opened.
type session struct {
	link *framelink.Link[frame]
	// member is set by the first frame; the host's lock guards it.
	member *Member
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
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ctx, link := framelink.New[frame](r.Context(), socket, &h.bytes)
	defer link.Close()
	s := &session{link: link}
	h.mu.Lock()
	h.sessions[s] = true
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.sessions, s)
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
		if !s.link.TrySend(frame{Pulse: h.pulse()}) {
			s.link.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-h.clock.After(pulseInterval):
		}
	}
}

func (h *Host) pulse() *pulse {
	return &pulse{
		Holds:   h.local.Holds(),
		Version: h.local.Version(),
		Members: h.Members(),
	}
}

func (h *Host) handle(s *session, f frame) {
	switch {
	case f.Hello != nil:
		h.mu.Lock()
		s.member = f.Hello
		h.mu.Unlock()
	case f.Missing != nil:
		h.local.Missing(f.Missing.Service, f.Missing.Model, f.Missing.Adapter)
	case f.Ask != nil:
		h.answer(s, f.Ask)
	case f.Demand != nil:
		h.local.Demand(f.Demand)
	}
}

func (h *Host) answer(s *session, a *ask) {
	if h.local.Version() > a.Version {
		_ = s.link.TrySend(frame{Configuration: h.local.Configuration()})
	}
	if a.Runners && !h.local.StoreOut() {
		_ = s.link.TrySend(frame{Runners: h.local.Runners()})
	}
}

// Announce tells every linked VM facts about runners.
func (h *Host) Announce(facts []orders.Holding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.sessions {
		_ = s.link.TrySend(frame{Holding: facts})
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

// Bytes returns how many bytes passed on the links that others opened.
func (h *Host) Bytes() uint64 { return h.bytes.Load() }
