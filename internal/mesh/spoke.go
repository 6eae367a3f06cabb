package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/framelink"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/pause"
)

const (
	// reportInterval is the pause between two accounts of demand sent up.
	reportInterval = 400 * time.Millisecond
	// dialPause is the pause before a link is tried again.
	dialPause = 200 * time.Millisecond
	// silence is after how long without a pulse a link is given up.
	silence = 1500 * time.Millisecond
	// dialTimeout bounds the opening of a link.
	dialTimeout = time.Second
)

// Spoke is this VM's link to the holder of the lease, or to another VM while the holder can't be reached.
type Spoke struct {
	self   Member
	local  Local
	client *http.Client
	clock  clockwork.Clock
	logger *slog.Logger
	bytes  atomic.Uint64

	mu   sync.Mutex
	link *framelink.Link[frame]
	// heard is when the last pulse came, members and holderOut what it said.
	heard     time.Time
	members   []Member
	holderOut bool
	// links counts the links opened so far.
	links uint64
}

// NewSpoke returns a spoke; Run keeps its link up.
func NewSpoke(self Member, local Local, clock clockwork.Clock, logger *slog.Logger) *Spoke {
	return &Spoke{
		self:  self,
		local: local,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext: outbound.NewDialer().DialContext,
			},
		},
		clock:  clock,
		logger: logger,
	}
}

// Members returns the VMs that the holder last named.
func (s *Spoke) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// Links returns how many links were opened so far.
func (s *Spoke) Links() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links
}

// HolderOut reports whether the holder last said that it can't read the registrations.
func (s *Spoke) HolderOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holderOut
}

// Bytes returns how many bytes passed on the links that this VM opened.
func (s *Spoke) Bytes() uint64 { return s.bytes.Load() }

// Missing tells the holder what a caller asked for and no runner has.
func (s *Spoke) Missing(service, model, adapter string) {
	if s.local.Holds() {
		s.local.Missing(service, model, adapter)
		return
	}
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link != nil {
		_ = link.TrySend(frame{Missing: &missing{
			Service: service,
			Model:   model,
			Adapter: adapter,
		}})
	}
}

// Run keeps a link to the holder up until the context ends.
func (s *Spoke) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.local.Holds() {
			s.local.Demand(s.self.Name, s.local.Rates())
			pause.For(ctx, s.clock, reportInterval)
			continue
		}
		address, known := s.local.HolderAddress()
		if !known {
			address, known = s.anyMember()
		}
		if known {
			s.connect(ctx, address)
		}
		pause.For(ctx, s.clock, dialPause)
	}
	return nil
}

// anyMember returns another VM to learn from while there is no holder.
func (s *Spoke) anyMember() (string, bool) {
	members := s.Members()
	if len(members) == 0 || !s.local.StoreOut() {
		return "", false
	}
	m := members[rand.IntN(len(members))]
	return m.Address, m.Name != s.self.Name
}

func (s *Spoke) connect(ctx context.Context, address string) {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	socket, _, err := websocket.Dial(dialing, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: s.client})
	cancel()
	if err != nil {
		event.LinkDown.Log(s.logger, slog.String("Address", address), event.Error(err))
		pause.For(ctx, s.clock, dialPause)
		return
	}
	ctx, link := framelink.New[frame](ctx, socket, &s.bytes)
	defer link.Close()
	s.mu.Lock()
	s.link = link
	s.links++
	s.heard = s.clock.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.link = nil
	}()
	event.LinkUp.Log(s.logger, slog.String("Address", address))
	_ = link.TrySend(frame{Hello: &s.self})
	go s.report(ctx, link, address)
	go s.share(ctx, link)
	for {
		f, err := link.Read(ctx)
		if err != nil {
			event.LinkDown.Log(s.logger, slog.String("Address", address), event.Error(err))
			return
		}
		s.handle(link, f)
	}
}

// report sends demand up, asks for what the store does not tell, and ends a link that no longer serves.
func (s *Spoke) report(ctx context.Context, link *framelink.Link[frame], address string) {
	defer link.Close()
	for {
		if s.useless(address) {
			return
		}
		// An empty frame still tells the other side that the link is alive.
		if !link.TrySend(frame{Demand: s.local.Rates()}) {
			return
		}
		if s.local.StoreOut() {
			_ = link.TrySend(frame{Ask: &ask{
				Version: s.local.Version(),
				Runners: true,
			}})
		}
		if !pause.For(ctx, s.clock, reportInterval) {
			return
		}
	}
}

// share tells the holder what this VM has at the runners.
func (s *Spoke) share(ctx context.Context, link *framelink.Link[frame]) {
	for {
		// An empty account counts too: a VM that says nothing is not known to be idle.
		told := &account{
			Version:   s.local.Version(),
			Occupancy: s.local.Occupancy(),
			Uses:      s.local.Uses(),
		}
		if !link.TrySend(frame{Account: told}) || !pause.For(ctx, s.clock, shareInterval) {
			return
		}
	}
}

// useless reports whether the other side is silent, or another VM than this one should be linked to.
func (s *Spoke) useless(address string) bool {
	s.mu.Lock()
	silent := s.clock.Since(s.heard) > silence
	s.mu.Unlock()
	holder, known := s.local.HolderAddress()
	return silent || s.local.Holds() || (known && holder != address)
}

func (s *Spoke) handle(link *framelink.Link[frame], f frame) {
	switch {
	case f.Pulse != nil:
		s.pulse(link, f.Pulse)
	case f.Holding != nil:
		s.local.Learn(f.Holding)
	case f.Ask != nil:
		giveNewer(link, s.local, f.Ask)
	case f.Configuration != nil:
		s.local.TakeConfiguration(f.Configuration)
	case f.Runners != nil:
		s.local.TakeRunners(f.Runners)
	case f.Changes != nil:
		s.local.TakeChanges(f.Changes)
	case f.Occupancy != nil:
		s.local.TakeOccupancy(f.Occupancy)
	}
}

func (s *Spoke) pulse(link *framelink.Link[frame], p *pulse) {
	if p.Resigned > 0 {
		s.local.HolderResigned(p.Resigned)
	}
	if !p.Holds {
		if _, known := s.local.HolderAddress(); known {
			// A VM that no longer holds the lease is of use only while nobody is known to.
			return
		}
	}
	s.mu.Lock()
	s.heard = s.clock.Now()
	s.holderOut = p.StoreOut
	if p.Holds && p.Members != nil {
		s.members = p.Members
	}
	s.mu.Unlock()
	if p.Holds {
		s.local.HolderSpoke(p.Lease)
	}
	askNewer(link, s.local, p.Version)
}
