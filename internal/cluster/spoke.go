package cluster

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
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

const (
	// demandInterval is the pause between two reports of demand.
	demandInterval = 400 * time.Millisecond
	// reconnectDelay is the pause before the next attempt to open a link.
	reconnectDelay = 200 * time.Millisecond
	// heartbeatTimeout is how long a link may receive no heartbeat before it is closed.
	heartbeatTimeout = 1500 * time.Millisecond
	// dialTimeout bounds the opening of a link.
	dialTimeout = time.Second
)

// Spoke keeps this VM's link to the lease holder, or to another VM while the holder is unknown.
type Spoke struct {
	self   Member
	local  LocalVM
	client *http.Client
	clock  clockwork.Clock
	logger *slog.Logger
	bytes  atomic.Uint64

	mu   sync.Mutex
	link *framelink.Link[frame]
	// lastHeartbeat is when the newest heartbeat arrived; members and holderStoreUnavailable are from heartbeats.
	lastHeartbeat          time.Time
	members                []Member
	memberCount            int
	holderStoreUnavailable bool
	// linksOpened counts the links opened so far.
	linksOpened uint64
	census      censusRequests
}

// NewSpoke returns a spoke without a link; Run opens one.
func NewSpoke(self Member, local LocalVM, clock clockwork.Clock, logger *slog.Logger) *Spoke {
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

// MemberCount returns the number of VMs that the lease holder last reported.
func (s *Spoke) MemberCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memberCount
}

// Members returns the VMs that the lease holder last listed.
func (s *Spoke) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// LinksOpened returns the number of links opened so far.
func (s *Spoke) LinksOpened() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.linksOpened
}

// HolderStoreUnavailable reports whether the lease holder last reported that it can't read the registrations.
func (s *Spoke) HolderStoreUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holderStoreUnavailable
}

// Bytes returns the number of bytes sent and received on links that this VM opened.
func (s *Spoke) Bytes() uint64 { return s.bytes.Load() }

// ReportMissingModel reports to the lease holder a model or adapter that a caller requested and no runner holds.
func (s *Spoke) ReportMissingModel(service, model, adapter string) {
	if s.local.HoldsLease() {
		s.local.ReceiveMissingModel(service, model, adapter)
		return
	}
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link != nil {
		_ = link.TrySend(frame{MissingModel: &missingModel{
			Service: service,
			Model:   model,
			Adapter: adapter,
		}})
	}
}

// SendEvidence reports evidence on prompt sections to the lease holder, if there is a link to it.
func (s *Spoke) SendEvidence(e quarantine.Evidence) {
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link != nil {
		_ = link.TrySend(frame{Evidence: &e})
	}
}

// Run keeps a link to the lease holder open until the context ends.
func (s *Spoke) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.local.HoldsLease() {
			s.local.ReceiveDemand(s.self.Name, s.local.DemandRates())
			pause.For(ctx, s.clock, demandInterval)
			continue
		}
		address, known := s.local.HolderAddress()
		if !known {
			address, known = s.randomMember()
		}
		if known {
			s.connect(ctx, address)
		}
		pause.For(ctx, s.clock, reconnectDelay)
	}
	return nil
}

// randomMember returns the address of a VM to get state from while this VM knows no lease holder and can't read the store.
func (s *Spoke) randomMember() (string, bool) {
	members := s.Members()
	if len(members) == 0 || !s.local.StoreUnavailable() {
		return "", false
	}
	m := members[rand.IntN(len(members))]
	return m.Address, m.Name != s.self.Name
}

func (s *Spoke) connect(ctx context.Context, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	socket, _, err := websocket.Dial(dialCtx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: s.client})
	cancel()
	if err != nil {
		event.LinkDown.Log(s.logger, slog.String("Address", address), event.Error(err))
		pause.For(ctx, s.clock, reconnectDelay)
		return
	}
	ctx, link := framelink.New[frame](ctx, socket, &s.bytes)
	defer link.Close()
	s.mu.Lock()
	s.link = link
	s.linksOpened++
	s.lastHeartbeat = s.clock.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.link = nil
	}()
	event.LinkUp.Log(s.logger, slog.String("Address", address))
	_ = link.TrySend(frame{Hello: &s.self})
	evidence := s.local.Evidence()
	_ = link.TrySend(frame{Evidence: &evidence})
	go s.reportDemand(ctx, link, address)
	go s.reportUsage(ctx, link)
	for {
		f, err := link.Read(ctx)
		if err != nil {
			event.LinkDown.Log(s.logger, slog.String("Address", address), event.Error(err))
			return
		}
		s.handle(link, f)
	}
}

// reportDemand reports this VM's demand, requests state while the store can't be read, and closes the link when it is no
// longer useful.
func (s *Spoke) reportDemand(ctx context.Context, link *framelink.Link[frame], address string) {
	defer link.Close()
	for {
		if s.shouldClose(address) {
			return
		}
		// Even an empty frame shows the other side that this VM is alive.
		if !link.TrySend(frame{Demand: s.local.DemandRates()}) {
			return
		}
		if s.local.StoreUnavailable() {
			_ = link.TrySend(frame{Request: &stateRequest{
				Version:         s.local.ConfigurationVersion(),
				Runners:         true,
				ReadsCompressed: true,
			}})
		}
		if !pause.For(ctx, s.clock, demandInterval) {
			return
		}
	}
}

// reportUsage reports this VM's requests at the runners to the lease holder.
func (s *Spoke) reportUsage(ctx context.Context, link *framelink.Link[frame]) {
	for {
		if !link.TrySend(frame{Usage: s.newUsageReport()}) || !pause.For(ctx, s.clock, usageInterval) {
			return
		}
	}
}

// shouldClose reports whether no heartbeat arrived in time, or whether this VM or one at another address holds the lease.
func (s *Spoke) shouldClose(address string) bool {
	s.mu.Lock()
	timedOut := s.clock.Since(s.lastHeartbeat) > heartbeatTimeout
	s.mu.Unlock()
	holder, known := s.local.HolderAddress()
	return timedOut || s.local.HoldsLease() || (known && holder != address)
}

func (s *Spoke) handle(link *framelink.Link[frame], f frame) {
	switch {
	case f.Heartbeat != nil:
		s.handleHeartbeat(link, f.Heartbeat)
	case f.Holdings != nil:
		s.local.ReceiveHoldings(f.Holdings)
	case f.Request != nil:
		sendNewerConfiguration(link, s.local, f.Request)
	case receiveConfiguration(s.local, f):
	case f.Runners != nil:
		s.local.ReceiveRunners(withReleases(f.Runners, f.Releases))
	case f.Changes != nil:
		s.local.ReceiveChanges(changesWithReleases(f.Changes, f.Releases))
	case f.Occupancy != nil:
		s.local.ReceiveOccupancy(f.Occupancy)
	case f.Requests != nil:
		s.local.ReceiveRequestTotals(f.Requests)
	case f.Quarantine != nil:
		s.local.ReceiveQuarantineStatus(*f.Quarantine)
	case f.Paces != nil:
		s.local.ReceivePaces(f.Paces)
	case receiveBrittleness(s.local, f):
	case f.Grant != nil:
		s.local.ReceiveGrant(f.Grant)
	case f.Proxies != nil:
		s.receiveProxies(link, f.Proxies)
	case f.Starts != nil:
		s.local.ReceiveStarts(f.Starts)
	case f.Logged != nil:
		s.local.ReceiveLogged(f.Logged)
	case f.Census != nil:
		s.receiveCensus(f.Census)
	}
}
