package peer

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/framelink"
	"github.com/cowsliparch/cowsliparch/internal/modelcall"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

const (
	// maxMissedHeartbeats is how many heartbeats may go unanswered before a peer counts as lost.
	maxMissedHeartbeats = 3
	dialTimeout         = 2 * time.Second
)

// Link is this VM's end of a link to one peer.
type Link struct {
	vm        vmlist.VM
	roundTrip time.Duration
	node      *Node
	clock     clockwork.Clock
	logger    *slog.Logger
	// lastID is the ID of the newest exchange.
	lastID atomic.Uint64

	mu       sync.Mutex
	conn     *framelink.Link[frame]
	alive    bool
	stopping bool
	// lastReply is when the last heartbeat reply arrived.
	lastReply time.Time
	levels    map[string]int8
	responses map[uint64]*response
	// pendingDemand is the demand to send with the next heartbeat.
	pendingDemand map[string]uint64
}

func newLink(vm vmlist.VM, roundTrip time.Duration, node *Node) *Link {
	return &Link{
		vm:            vm,
		roundTrip:     roundTrip,
		node:          node,
		clock:         node.clock,
		logger:        node.logger,
		levels:        make(map[string]int8),
		responses:     make(map[uint64]*response),
		pendingDemand: make(map[string]uint64),
	}
}

// Domain returns the failure domain of the peer.
func (l *Link) Domain() string { return l.vm.FailureDomain }

// Alive reports whether the peer answers heartbeats and isn't stopping.
func (l *Link) Alive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive && !l.stopping
}

// predict returns the expected time to the first token of a model at the peer, including the network round trip.
func (l *Link) predict(model string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	level, ok := l.levels[model]
	if !ok || !l.alive || l.stopping {
		return 0, false
	}
	return MaxWait(level) + l.roundTrip, true
}

// run connects to the peer, again after each failure, until ctx ends.
func (l *Link) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.connect(ctx)
		pause.For(ctx, l.clock, l.node.heartbeat)
	}
}

func (l *Link) connect(ctx context.Context) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	socket, _, err := websocket.Dial(dialCtx, "ws://"+l.vm.Address+"/peer", nil)
	cancel()
	if err != nil {
		return
	}
	ctx, c := framelink.New[frame](ctx, socket, &l.node.bytes)
	defer c.Close()
	l.mu.Lock()
	l.conn = c
	l.lastReply = l.clock.Now()
	l.mu.Unlock()
	go l.sendHeartbeats(ctx, c)
	for {
		f, err := c.Read(ctx)
		if err != nil {
			l.handleDisconnect(err)
			return
		}
		l.handleFrame(ctx, c, f)
	}
}

// sendHeartbeats sends heartbeats and closes the connection once too many go unanswered.
func (l *Link) sendHeartbeats(ctx context.Context, c *framelink.Link[frame]) {
	defer c.Close()
	name := l.node.name
	for {
		l.mu.Lock()
		timedOut := l.clock.Since(l.lastReply) > maxMissedHeartbeats*l.node.heartbeat
		demand := l.pendingDemand
		l.pendingDemand = make(map[string]uint64)
		l.mu.Unlock()
		if timedOut {
			return
		}
		err := c.Send(ctx, frame{
			Heartbeat: &heartbeat{
				Name:   name,
				Demand: demand,
			},
		})
		name = ""
		if err != nil {
			return
		}
		if !pause.For(ctx, l.clock, l.node.heartbeat) {
			return
		}
	}
}

func (l *Link) handleFrame(ctx context.Context, c *framelink.Link[frame], f frame) {
	switch {
	case f.HeartbeatReply != nil:
		l.handleHeartbeatReply(ctx, c, f.HeartbeatReply)
	case f.Snapshot != nil:
		l.adoptSnapshot(*f.Snapshot)
	case f.Event != nil || f.End != nil || f.BatcherReply != nil:
		l.mu.Lock()
		r := l.responses[f.ID]
		l.mu.Unlock()
		if r == nil {
			return
		}
		if f.Event != nil {
			l.countCrossRegion(len(f.Event.Data))
		}
		r.push(f)
	}
}

func (l *Link) handleHeartbeatReply(ctx context.Context, c *framelink.Link[frame], reply *heartbeatReply) {
	l.mu.Lock()
	joined := !l.alive
	l.alive = true
	l.stopping = reply.Stopping
	l.lastReply = l.clock.Now()
	for model, level := range reply.Levels {
		if level == NotServed {
			delete(l.levels, model)
			continue
		}
		l.levels[model] = level
	}
	l.mu.Unlock()
	if joined {
		event.PeerJoined.Log(l.logger, slog.String("Peer", l.vm.Name))
	}
	if reply.Through > l.node.follower.State().LastOffset() {
		_ = c.Send(ctx, frame{SnapshotRequest: &snapshotRequest{}})
	}
}

func (l *Link) adoptSnapshot(snapshot configuration.Snapshot) {
	state, err := configuration.FromSnapshot(snapshot)
	if err != nil {
		event.RecordSkipped.Log(l.logger, slog.String("Peer", l.vm.Name), event.Error(err))
		return
	}
	if l.node.follower.Adopt(state) {
		event.ConfigurationFromPeer.Log(l.logger, slog.String("Peer", l.vm.Name), slog.Uint64("Version", uint64(state.Version())))
	}
}

func (l *Link) handleDisconnect(err error) {
	l.mu.Lock()
	wasAlive := l.alive
	l.conn = nil
	l.alive = false
	l.levels = make(map[string]int8)
	responses := l.responses
	l.responses = make(map[uint64]*response)
	l.mu.Unlock()
	for _, r := range responses {
		r.fail(err)
	}
	if wasAlive {
		event.PeerLost.Log(l.logger, slog.String("Peer", l.vm.Name), event.Error(err))
	}
}

// generate forwards a call to the peer.
func (l *Link) generate(ctx context.Context, call modelcall.Call) (endpoint.Response, error) {
	r, err := l.startExchange(ctx, frame{
		Generate: &generateRequest{
			RequestID:       call.RequestID,
			Caller:          call.Caller,
			Body:            call.Body,
			ResumeFrom:      call.ResumeFrom,
			AlreadyAdmitted: call.AlreadyAdmitted,
			TimeLeft:        call.Deadline().Sub(l.clock.Now()) - l.roundTrip,
		},
	}, maxQueuedEvents)
	if err != nil {
		return nil, err
	}
	l.countCrossRegion(len(call.Body))
	return r, nil
}

// startExchange sends the first frame of an exchange; capacity is how many frames of its answer are queued at most.
func (l *Link) startExchange(ctx context.Context, f frame, capacity int) (*response, error) {
	f.ID = l.lastID.Add(1)
	r := newResponse(ctx, l, f.ID, capacity)
	l.mu.Lock()
	c := l.conn
	if c != nil {
		l.responses[f.ID] = r
	}
	l.mu.Unlock()
	if c == nil {
		return nil, &endpoint.NotSentError{Address: l.vm.Address, Cause: &framelink.ClosedError{}}
	}
	if err := c.Send(ctx, f); err != nil {
		l.endExchange(f.ID)
		return nil, &endpoint.NotSentError{Address: l.vm.Address, Cause: err}
	}
	return r, nil
}

// countCrossRegion counts bytes exchanged with another region, which are billed by volume.
func (l *Link) countCrossRegion(bytes int) {
	if l.vm.Region != l.node.region {
		l.node.crossRegionBytes.Add(uint64(bytes))
	}
}

// endExchange forgets an exchange and cancels it at the peer if the link is up.
func (l *Link) endExchange(id uint64) {
	l.mu.Lock()
	_, open := l.responses[id]
	delete(l.responses, id)
	c := l.conn
	l.mu.Unlock()
	if !open || c == nil {
		return
	}
	// If the send queue is full, the cancellation is dropped, and the exchange at the peer lasts until the connection ends.
	_ = c.TrySend(frame{ID: id, Cancel: &cancelRequest{}})
}

// addDemand adds counts to the next heartbeat.
func (l *Link) addDemand(counts map[string]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for model, n := range counts {
		l.pendingDemand[model] += n
	}
}
