package callers

import (
	"container/list"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// stallTime is how long an incomplete request may not grow before it is given up ahead of those that do. Sound callers on slow links
// send 16 KiB in less.
const stallTime = 2 * time.Second

// graceTime is how long a connection is spared after it was opened or its response has ended: a sound caller sends its head at once.
const graceTime = 500 * time.Millisecond

// Options are the limits of a Guard.
type Options struct {
	// Bytes is what all requests may hold together.
	Bytes int64
	// Connections is how many connections may be open.
	Connections int
	// HeadBytes returns the limit of a request's head, HeadTime the time in which it must arrive.
	HeadBytes func() int
	HeadTime  func() time.Duration
	// OnRefuse is called for each request refused and connection closed; it must not block.
	OnRefuse func(*RefusedError)
	Clock    clockwork.Clock
}

// Guard keeps the budget of memory and connections; it is safe for concurrent use.
type Guard struct {
	Options

	mu   sync.Mutex
	open int
	// claimed is what all requests hold that are not refused; complete is the part of those that were read completely, which are never
	// given up. held also includes the refused ones, until they end.
	claimed  int64
	complete int64
	held     int64
	// waiting are the connections in each phase that may be closed, the one that has been in it longest first.
	waiting [phases]*list.List
}

// phase is what a connection is doing.
type phase int32

const (
	// readingHead is the phase until a head is complete, from the start of a connection or the first byte of a later request.
	readingHead phase = iota
	// idle is the phase after a response.
	idle
	// readingBody is the phase until the body was read.
	readingBody
	// passedOn is the phase of complete requests, until their response has ended.
	passedOn
	// closing is the phase after a refusal.
	closing
	phases
)

// New returns a guard with the given limits.
func New(options Options) *Guard {
	g := &Guard{
		Options: options,
	}
	for p := range g.waiting {
		g.waiting[p] = list.New()
	}
	return g
}

// Held returns the bytes that all requests hold.
func (g *Guard) Held() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// Open returns how many connections are open.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// admit counts a new connection and gives up another one if there are too many. It reports whether the new one may be served: not if too
// many of those given up are not closed yet, or if all others have complete requests.
func (g *Guard) admit(c *Conn) bool {
	g.mu.Lock()
	if g.open < g.Connections {
		g.add(c)
		g.mu.Unlock()
		return true
	}
	victim := g.closeFirst()
	admitted := victim != nil && (victim.silent() || g.open < g.Connections+g.Connections/4)
	if admitted {
		g.add(c)
	}
	g.mu.Unlock()
	if victim != nil {
		g.OnRefuse(victim.refused.Load())
		if victim.silent() {
			_ = victim.Close()
		}
	}
	if !admitted {
		g.OnRefuse(&RefusedError{Reason: Connections})
	}
	return admitted
}

// add counts a connection; the caller holds the lock.
func (g *Guard) add(c *Conn) {
	g.open++
	g.enter(c, readingHead)
}

// closeFirst refuses the connection that is the first to be closed, or returns nil; the caller holds the lock.
func (g *Guard) closeFirst() *Conn {
	// Incomplete heads go before idle connections, and both before incomplete bodies. Connections that have only just reached one of the
	// first two are spared as long as there are others.
	before := g.Clock.Now().Add(-graceTime).UnixNano()
	var victim *Conn
	for _, p := range []phase{readingHead, idle, readingBody} {
		first := g.waiting[p].Front()
		if first == nil {
			continue
		}
		c := first.Value.(*Conn)
		if c.since <= before {
			victim = c
			break
		}
		if victim == nil {
			victim = c
		}
	}
	if victim != nil {
		g.refuse(victim, Connections)
	}
	return victim
}

// enter moves a connection to a phase, unless it was refused; the caller holds the lock.
func (g *Guard) enter(c *Conn, p phase) {
	if c.phase() == closing {
		return
	}
	if c.element != nil {
		g.waiting[c.phase()].Remove(c.element)
		c.element = nil
	}
	c.current.Store(int32(p))
	c.since = g.Clock.Now().UnixNano()
	if p < passedOn {
		c.element = g.waiting[p].PushBack(c)
	}
}

// refuse gives a connection up; the caller holds the lock.
func (g *Guard) refuse(c *Conn, reason Reason) {
	c.silentAtRefusal = c.phase() == idle || c.phase() == readingHead && c.bytes == 0
	g.enter(c, closing)
	g.claimed -= c.bytes
	c.refused.Store(&RefusedError{
		Reason: reason,
		Bytes:  c.bytes,
	})
	_ = c.TCPConn.SetReadDeadline(longAgo)
}

// charge sets what a connection's request holds and refuses the requests that are the first to be given up until the rest fits. It fails with
// RefusedError if this one is or was refused.
func (g *Guard) charge(c *Conn, bytes int64) error {
	g.mu.Lock()
	g.set(c, bytes)
	var victims []*Conn
	for g.claimed > g.Bytes {
		victim := g.largest()
		if victim == nil {
			break
		}
		g.refuse(victim, Memory)
		victims = append(victims, victim)
	}
	// Those refused hold their memory until their connections notice it. What would exceed half of the budget above it is not taken.
	if c.refused.Load() == nil && g.held > g.Bytes+g.Bytes/2 && bytes > smallRequest {
		g.refuse(c, Memory)
		victims = append(victims, c)
	}
	g.mu.Unlock()
	for _, victim := range victims {
		g.OnRefuse(victim.refused.Load())
	}
	if refused := c.refused.Load(); refused != nil {
		return refused
	}
	return nil
}

// smallRequest is what an ordinary request holds at most; it is taken while larger ones are being given up.
const smallRequest = 64 << 10

// set changes what a connection holds; the caller holds the lock.
func (g *Guard) set(c *Conn, bytes int64) {
	g.held += bytes - c.bytes
	switch c.phase() {
	case closing:
	case passedOn:
		g.complete += bytes - c.bytes
		fallthrough
	default:
		g.claimed += bytes - c.bytes
	}
	c.bytes = bytes
}

// largest returns the incomplete request that is the first to be given up: the largest of those that have stalled, otherwise of all.
// Small requests don't count as stalled, since giving them up frees little. The caller holds the lock.
func (g *Guard) largest() *Conn {
	var first *Conn
	firstStalled := false
	before := g.Clock.Now().Add(-stallTime).UnixNano()
	for _, p := range []phase{readingHead, readingBody} {
		for e := g.waiting[p].Front(); e != nil; e = e.Next() {
			c := e.Value.(*Conn)
			stalled := c.bytes > smallRequest && c.progress.Load() < before
			if c.bytes > 0 && (first == nil || stalled && !firstStalled || stalled == firstStalled && c.bytes > first.bytes) {
				first, firstStalled = c, stalled
			}
		}
	}
	return first
}
