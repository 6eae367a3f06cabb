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
	// missedBeats is how many beats may go unanswered before a peer counts as lost.
	missedBeats = 3
	dialTimeout = 2 * time.Second
)

// Link is this VM's side of the link to one peer.
type Link struct {
	vm     vmlist.VM
	cost   time.Duration
	node   *Node
	clock  clockwork.Clock
	logger *slog.Logger
	calls  atomic.Uint64

	mu       sync.Mutex
	conn     *framelink.Link[frame]
	alive    bool
	stopping bool
	answered time.Time
	levels   map[string]int8
	answers  map[uint64]*answer
	backlog  map[string]uint64
}

func newLink(vm vmlist.VM, cost time.Duration, node *Node) *Link {
	return &Link{
		vm:      vm,
		cost:    cost,
		node:    node,
		clock:   node.clock,
		logger:  node.logger,
		levels:  make(map[string]int8),
		answers: make(map[uint64]*answer),
		backlog: make(map[string]uint64),
	}
}

// Domain returns the failure domain of the peer.
func (l *Link) Domain() string { return l.vm.FailureDomain }

// Alive reports whether the peer answered lately and isn't stopping.
func (l *Link) Alive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive && !l.stopping
}

// predict returns the expected time to the first token of a model there.
func (l *Link) predict(model string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	level, ok := l.levels[model]
	if !ok || !l.alive || l.stopping {
		return 0, false
	}
	return WaitOf(level) + l.cost, true
}

// run keeps the link up until ctx ends.
func (l *Link) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.connect(ctx)
		pause.For(ctx, l.clock, l.node.heartbeat)
	}
}

func (l *Link) connect(ctx context.Context) {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	socket, _, err := websocket.Dial(dialing, "ws://"+l.vm.Address+"/peer", nil)
	cancel()
	if err != nil {
		return
	}
	ctx, c := framelink.New[frame](ctx, socket, &l.node.bytes)
	defer c.Close()
	l.mu.Lock()
	l.conn = c
	l.answered = l.clock.Now()
	l.mu.Unlock()
	go l.beat(ctx, c)
	for {
		f, err := c.Read(ctx)
		if err != nil {
			l.lost(err)
			return
		}
		l.handle(ctx, c, f)
	}
}

// beat sends heartbeats and ends the connection when they go unanswered.
func (l *Link) beat(ctx context.Context, c *framelink.Link[frame]) {
	defer c.Close()
	name := l.node.name
	for {
		l.mu.Lock()
		silent := l.clock.Since(l.answered) > missedBeats*l.node.heartbeat
		demand := l.backlog
		l.backlog = make(map[string]uint64)
		l.mu.Unlock()
		if silent {
			return
		}
		err := c.Send(ctx, frame{
			Beat: &beat{
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

func (l *Link) handle(ctx context.Context, c *framelink.Link[frame], f frame) {
	switch {
	case f.Pulse != nil:
		l.pulse(ctx, c, f.Pulse)
	case f.Snapshot != nil:
		l.adopt(*f.Snapshot)
	case f.Event != nil || f.End != nil || f.Told != nil:
		l.mu.Lock()
		a := l.answers[f.Call]
		l.mu.Unlock()
		if a == nil {
			return
		}
		if f.Event != nil {
			l.cross(len(f.Event.Data))
		}
		a.push(f)
	}
}

func (l *Link) pulse(ctx context.Context, c *framelink.Link[frame], p *pulse) {
	l.mu.Lock()
	joined := !l.alive
	l.alive = true
	l.stopping = p.Stopping
	l.answered = l.clock.Now()
	for model, level := range p.Levels {
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
	if p.Through > l.node.tail.State().Through() {
		_ = c.Send(ctx, frame{Ask: &ask{}})
	}
}

func (l *Link) adopt(snapshot configuration.Snapshot) {
	state, err := configuration.FromSnapshot(snapshot)
	if err != nil {
		event.RecordSkipped.Log(l.logger, slog.String("Peer", l.vm.Name), event.Error(err))
		return
	}
	if l.node.tail.Adopt(state) {
		event.ConfigurationFromPeer.Log(l.logger, slog.String("Peer", l.vm.Name), slog.Uint64("Version", uint64(state.Version())))
	}
}

func (l *Link) lost(err error) {
	l.mu.Lock()
	wasAlive := l.alive
	l.conn = nil
	l.alive = false
	l.levels = make(map[string]int8)
	answers := l.answers
	l.answers = make(map[uint64]*answer)
	l.mu.Unlock()
	for _, a := range answers {
		a.fail(err)
	}
	if wasAlive {
		event.PeerLost.Log(l.logger, slog.String("Peer", l.vm.Name), event.Error(err))
	}
}

// generate sends a call to the peer.
func (l *Link) generate(ctx context.Context, call modelcall.Call) (endpoint.Answer, error) {
	a, err := l.open(ctx, frame{
		Generate: &generate{
			RequestID:  call.RequestID,
			Caller:     call.Caller,
			Body:       call.Body,
			ResumeFrom: call.ResumeFrom,
			Begun:      call.Begun,
			Left:       call.Deadline().Sub(l.clock.Now()) - l.cost,
		},
	}, answerQueue)
	if err != nil {
		return nil, err
	}
	l.cross(len(call.Body))
	return a, nil
}

// open sends the first frame of an exchange whose answer has room for so many frames.
func (l *Link) open(ctx context.Context, f frame, room int) (*answer, error) {
	f.Call = l.calls.Add(1)
	a := newAnswer(ctx, l, f.Call, room)
	l.mu.Lock()
	c := l.conn
	if c != nil {
		l.answers[f.Call] = a
	}
	l.mu.Unlock()
	if c == nil {
		return nil, &endpoint.UnsentError{Address: l.vm.Address, Cause: &framelink.ClosedError{}}
	}
	if err := c.Send(ctx, f); err != nil {
		l.forget(f.Call)
		return nil, &endpoint.UnsentError{Address: l.vm.Address, Cause: err}
	}
	return a, nil
}

// cross counts bytes that are paid by volume.
func (l *Link) cross(bytes int) {
	if l.vm.Region != l.node.region {
		l.node.crossed.Add(uint64(bytes))
	}
}

// forget ends an exchange; the peer is told if it has not ended it itself.
func (l *Link) forget(id uint64) {
	l.mu.Lock()
	_, open := l.answers[id]
	delete(l.answers, id)
	c := l.conn
	l.mu.Unlock()
	if !open || c == nil {
		return
	}
	// On a full link the peer notices when the connection ends.
	_ = c.TrySend(frame{Call: id, Cancel: &cancel{}})
}

// demand adds counts to the next beat.
func (l *Link) demand(counts map[string]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for model, n := range counts {
		l.backlog[model] += n
	}
}
