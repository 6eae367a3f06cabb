package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/booking"
	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/framelink"
	"github.com/cowsliparch/cowsliparch/internal/modelcall"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// Local is what a Server needs from its own VM.
type Local interface {
	// State returns the configuration that this VM has applied.
	State() configuration.State
	// Stopping reports whether the VM is shutting down.
	Stopping() bool
	// WaitLevels returns the wait level of each model that this failure domain serves.
	WaitLevels() map[string]int8
	// InSameDomain reports whether a peer is in the same failure domain and so needs no wait levels.
	InSameDomain(peer string) bool
	// Demand adds the calls that a peer counted.
	Demand(peer string, counts map[string]uint64)
	// Batcher returns the VM's own batcher of claims, which also serves its peers.
	Batcher() booking.Batcher
	// Prepare validates a call that a peer forwarded.
	Prepare(body []byte, caller, requestID string, arrived time.Time) (modelcall.Call, *refusal.Refusal)
	// Serve answers a forwarded call from this failure domain.
	Serve(ctx context.Context, call modelcall.Call, sink modelcall.Sink) *refusal.Refusal
}

// Server handles the links that peers open.
type Server struct {
	incarnation string
	local       Local
	clock       clockwork.Clock
	bytes       atomic.Uint64
}

// Bytes returns how many bytes of frames this VM exchanged on the links that peers opened.
func (s *Server) Bytes() uint64 { return s.bytes.Load() }

// NewServer returns a server for one incarnation of a VM.
func NewServer(incarnation string, local Local, clock clockwork.Clock) *Server {
	return &Server{
		incarnation: incarnation,
		local:       local,
		clock:       clock,
	}
}

// ServeHTTP accepts a link and handles its frames until it closes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, c, ok := framelink.Accept[frame](w, r, &s.bytes)
	if !ok {
		return
	}
	defer c.Close()
	peerSession := &session{
		server:     s,
		conn:       c,
		sentLevels: make(map[string]int8),
		cancels:    make(map[uint64]context.CancelFunc),
	}
	defer peerSession.exchanges.Wait()
	defer c.Close()
	for {
		f, err := c.Read(ctx)
		if err != nil {
			return
		}
		if err := peerSession.handleFrame(ctx, f); err != nil {
			return
		}
	}
}

// session is the server's end of one link.
type session struct {
	server *Server
	conn   *framelink.Link[frame]
	name   string
	// sentLevels holds the wait levels last sent to the peer.
	sentLevels map[string]int8
	replied    bool
	exchanges  sync.WaitGroup

	mu sync.Mutex
	// cancels holds the cancel function of each open exchange by its ID.
	cancels map[uint64]context.CancelFunc
}

func (s *session) handleFrame(ctx context.Context, f frame) error {
	switch {
	case f.Heartbeat != nil:
		if f.Heartbeat.Name != "" {
			s.name = f.Heartbeat.Name
		}
		s.server.local.Demand(s.name, f.Heartbeat.Demand)
		return s.conn.Send(ctx, frame{
			ID:             f.ID,
			HeartbeatReply: s.newHeartbeatReply(),
		})
	case f.SnapshotRequest != nil:
		snapshot := s.server.local.State().SnapshotBody()
		return s.conn.Send(ctx, frame{
			ID:       f.ID,
			Snapshot: &snapshot,
		})
	case f.Generate != nil:
		s.startGenerate(ctx, f)
	case f.BatcherRequest != nil:
		s.startBatcherRequest(ctx, f)
	case f.Cancel != nil:
		s.cancelExchange(f.ID)
	}
	return nil
}

func (s *session) newHeartbeatReply() *heartbeatReply {
	local := s.server.local
	reply := &heartbeatReply{
		Stopping: local.Stopping(),
		Through:  local.State().LastOffset(),
	}
	if !local.InSameDomain(s.name) {
		reply.Levels = levelChanges(s.sentLevels, local.WaitLevels())
	}
	if !s.replied {
		s.replied = true
		reply.Incarnation = s.server.incarnation
	}
	return reply
}

// levelChanges returns the differences between the levels sent so far and the current ones, and updates sent to match.
func levelChanges(sent, levels map[string]int8) map[string]int8 {
	changed := make(map[string]int8)
	for model, level := range levels {
		if before, ok := sent[model]; !ok || before != level {
			changed[model] = level
			sent[model] = level
		}
	}
	for model := range sent {
		if _, ok := levels[model]; !ok {
			changed[model] = NotServed
			delete(sent, model)
		}
	}
	return changed
}

func (s *session) startGenerate(ctx context.Context, f frame) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.cancels[f.ID] = cancel
	s.mu.Unlock()
	s.exchanges.Go(func() {
		defer s.cancelExchange(f.ID)
		refused := s.serveGenerate(ctx, f)
		_ = s.conn.Send(ctx, frame{
			ID: f.ID,
			End: &answerEnd{
				Refused: refused,
			},
		})
	})
}

func (s *session) startBatcherRequest(ctx context.Context, f frame) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.cancels[f.ID] = cancel
	s.mu.Unlock()
	s.exchanges.Go(func() {
		defer s.cancelExchange(f.ID)
		reply := serveBatcherRequest(ctx, s.server.local.Batcher(), *f.BatcherRequest)
		_ = s.conn.Send(ctx, frame{
			ID:           f.ID,
			BatcherReply: &reply,
		})
	})
}

func (s *session) serveGenerate(ctx context.Context, f frame) *refusal.Refusal {
	request := f.Generate
	local := s.server.local
	call, refused := local.Prepare(request.Body, request.Caller, request.RequestID, s.server.clock.Now())
	if refused != nil {
		return refused
	}
	call.Forwarded = true
	call.ResumeFrom = request.ResumeFrom
	call.AlreadyAdmitted = request.AlreadyAdmitted
	call.Objective.FirstToken.Duration = request.TimeLeft
	return local.Serve(ctx, call, &frameSink{
		ctx:  ctx,
		id:   f.ID,
		conn: s.conn,
	})
}

func (s *session) cancelExchange(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.cancels[id]; ok {
		cancel()
		delete(s.cancels, id)
	}
}
