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

// Local is what a VM does for its peers.
type Local interface {
	// State returns the configuration folded here.
	State() configuration.State
	// Stopping reports whether the VM is leaving.
	Stopping() bool
	// Levels returns the wait level of each model that this failure domain serves.
	Levels() map[string]int8
	// Neighbour reports whether a peer is of the same failure domain, and so needs no levels.
	Neighbour(peer string) bool
	// Demand takes in what a peer counted.
	Demand(peer string, counts map[string]uint64)
	// Desk returns the VM's own desk, on which it batches for its peers.
	Desk() booking.Batcher
	// Prepare checks a call that a peer sent here.
	Prepare(body []byte, caller, requestID string, arrived time.Time) (modelcall.Call, *refusal.Refusal)
	// Serve answers it from this failure domain.
	Serve(ctx context.Context, call modelcall.Call, sink modelcall.Sink) *refusal.Refusal
}

// Server answers the frames of peers.
type Server struct {
	incarnation string
	local       Local
	clock       clockwork.Clock
	bytes       atomic.Uint64
}

// Bytes returns how many bytes of frames this VM exchanged on the links that peers opened.
func (s *Server) Bytes() uint64 { return s.bytes.Load() }

// NewServer returns a server that speaks for one incarnation of a VM.
func NewServer(incarnation string, local Local, clock clockwork.Clock) *Server {
	return &Server{
		incarnation: incarnation,
		local:       local,
		clock:       clock,
	}
}

// ServeHTTP takes a link until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, c, ok := framelink.Accept[frame](w, r, &s.bytes)
	if !ok {
		return
	}
	defer c.Close()
	l := &session{
		server: s,
		conn:   c,
		sent:   make(map[string]int8),
		calls:  make(map[uint64]context.CancelFunc),
	}
	defer l.calling.Wait()
	defer c.Close()
	for {
		f, err := c.Read(ctx)
		if err != nil {
			return
		}
		if err := l.handle(ctx, f); err != nil {
			return
		}
	}
}

// session is the server's side of one link.
type session struct {
	server  *Server
	conn    *framelink.Link[frame]
	name    string
	sent    map[string]int8
	beaten  bool
	calling sync.WaitGroup

	mu    sync.Mutex
	calls map[uint64]context.CancelFunc
}

func (l *session) handle(ctx context.Context, f frame) error {
	switch {
	case f.Beat != nil:
		if f.Beat.Name != "" {
			l.name = f.Beat.Name
		}
		l.server.local.Demand(l.name, f.Beat.Demand)
		return l.conn.Send(ctx, frame{
			Call:  f.Call,
			Pulse: l.pulse(),
		})
	case f.Ask != nil:
		snapshot := l.server.local.State().Body()
		return l.conn.Send(ctx, frame{
			Call:     f.Call,
			Snapshot: &snapshot,
		})
	case f.Generate != nil:
		l.start(ctx, f)
	case f.Desk != nil:
		l.startDesk(ctx, f)
	case f.Cancel != nil:
		l.stop(f.Call)
	}
	return nil
}

func (l *session) pulse() *pulse {
	local := l.server.local
	p := &pulse{
		Stopping: local.Stopping(),
		Through:  local.State().Through(),
	}
	if !local.Neighbour(l.name) {
		p.Levels = changes(l.sent, local.Levels())
	}
	if !l.beaten {
		l.beaten = true
		p.Incarnation = l.server.incarnation
	}
	return p
}

// changes returns what differs between the levels sent so far and the present ones, and notes it as sent.
func changes(sent, levels map[string]int8) map[string]int8 {
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

func (l *session) start(ctx context.Context, f frame) {
	ctx, stop := context.WithCancel(ctx)
	l.mu.Lock()
	l.calls[f.Call] = stop
	l.mu.Unlock()
	l.calling.Go(func() {
		defer l.stop(f.Call)
		refused := l.serve(ctx, f)
		_ = l.conn.Send(ctx, frame{
			Call: f.Call,
			End: &end{
				Refused: refused,
			},
		})
	})
}

func (l *session) startDesk(ctx context.Context, f frame) {
	ctx, stop := context.WithCancel(ctx)
	l.mu.Lock()
	l.calls[f.Call] = stop
	l.mu.Unlock()
	l.calling.Go(func() {
		defer l.stop(f.Call)
		told := answerDesk(ctx, l.server.local.Desk(), *f.Desk)
		_ = l.conn.Send(ctx, frame{
			Call: f.Call,
			Told: &told,
		})
	})
}

func (l *session) serve(ctx context.Context, f frame) *refusal.Refusal {
	g := f.Generate
	local := l.server.local
	call, refused := local.Prepare(g.Body, g.Caller, g.RequestID, l.server.clock.Now())
	if refused != nil {
		return refused
	}
	call.Hop = true
	call.ResumeFrom = g.ResumeFrom
	call.Begun = g.Begun
	call.Objective.FirstToken.Duration = g.Left
	return local.Serve(ctx, call, &frameSink{
		ctx:  ctx,
		call: f.Call,
		conn: l.conn,
	})
}

func (l *session) stop(call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stop, ok := l.calls[call]; ok {
		stop()
		delete(l.calls, call)
	}
}
