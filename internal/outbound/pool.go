package outbound

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

const (
	// dialTimeout limits the time to open a connection. Two regions are 60 ms apart, and a lost SYN would be sent again only
	// after 1 s.
	dialTimeout = 700 * time.Millisecond
	// ackTimeout is the time after which a connection is closed if sent data is not acknowledged (TCP_USER_TIMEOUT).
	ackTimeout = 2 * time.Second
	// keepAliveInterval is the time between TCP keep-alive probes; keepAliveProbes is how many may go unanswered.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the endpoint's idle timeout, so that the pool stops using a connection first.
	idleTimeoutMargin = 500 * time.Millisecond
)

// ConnectionLimitError reports that this VM has reached its limit of connections to an endpoint.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

// Error implements error.
func (e *ConnectionLimitError) Error() string { return "connection limit reached at " + e.Address }

// Dialer opens connections; net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool is a pool of connections to endpoints.
type Pool struct {
	clock  clockwork.Clock
	dialer Dialer

	mu sync.Mutex
	// hosts holds the connections to each address.
	hosts  map[string]*hostConns
	opened uint64
	// newest is the number of the connection that was opened last.
	newest uint64
}

// hostConns are the connections to one address; open counts the idle ones, those in use and those being opened.
type hostConns struct {
	idle []*conn
	open int
	// conns holds the idle ones and those in use.
	conns map[*conn]struct{}
}

// NewPool returns an empty pool whose connections are opened by NewDialer's dialer.
func NewPool(clock clockwork.Clock) *Pool { return NewPoolWithDialer(NewDialer(), clock) }

// NewPoolWithDialer returns an empty pool whose connections are opened by a dialer.
func NewPoolWithDialer(dialer Dialer, clock clockwork.Clock) *Pool {
	return &Pool{
		clock:  clock,
		dialer: dialer,
		hosts:  make(map[string]*hostConns),
	}
}

// NewDialer returns a dialer whose connections are closed when the other side stops responding at the TCP level.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: setUserTimeout(ackTimeout),
	}
}

// setUserTimeout returns a control function for a dialer that limits how long sent data may stay unacknowledged.
func setUserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}

// Opened returns how many connections the pool has opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// acquire returns an idle connection that suits the target or opens a new one; the target's MaxConnections limits the open ones.
func (p *Pool) acquire(ctx context.Context, target Target) (*conn, error) {
	for {
		c, err := p.takeIdle(target)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		c.close()
	}
	return p.dial(ctx, target.Address)
}

// Open opens a connection to an address and keeps it idle for requests. It fails with endpoint.NotSentError.
func (p *Pool) Open(ctx context.Context, address string) error {
	p.reserveSlot(address)
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.putIdle(address, c)
	return nil
}

// dial opens a connection that is already counted as open.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	socket, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.releaseSlot(address)
		return nil, &endpoint.NotSentError{
			Address: address,
			Cause:   err,
		}
	}
	c := newConn(socket)
	c.onClose = func() { p.forget(address, c) }
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newest++
	c.number = p.newest
	p.host(address).conns[c] = struct{}{}
	return c, nil
}

// takeIdle returns the most recently used idle connection that suits the target, or nil after it has counted a new connection as
// open. At the limit, a new one replaces an idle one.
func (p *Pool) takeIdle(target Target) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(target.Address)
	now := p.clock.Now()
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		expired := now.Sub(c.idleSince) >= c.idleTimeout
		if !expired && (target.MaxRest > 0 && now.Sub(c.idleSince) >= target.MaxRest || !c.suits(target)) {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if !expired {
			return c, nil
		}
		go c.close()
	}
	if target.MaxConnections > 0 && h.open >= target.MaxConnections {
		if len(h.idle) == 0 {
			return nil, &ConnectionLimitError{
				Address: target.Address,
				Limit:   target.MaxConnections,
			}
		}
		go h.idle[0].close()
		h.idle = slices.Delete(h.idle, 0, 1)
	}
	h.open++
	p.opened++
	return nil, nil
}

// host returns the connections to an address; the caller holds the lock.
func (p *Pool) host(address string) *hostConns {
	h, ok := p.hosts[address]
	if !ok {
		h = &hostConns{
			conns: make(map[*conn]struct{}),
		}
		p.hosts[address] = h
	}
	return h
}

// reserveSlot counts a new connection to an address as open.
func (p *Pool) reserveSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host(address).open++
	p.opened++
}

// putIdle makes a connection available for reuse.
func (p *Pool) putIdle(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = p.clock.Now()
	h := p.hosts[address]
	h.idle = append(h.idle, c)
}

// releaseSlot counts one connection to an address as no longer open.
func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.hosts[address]; ok && h.open > 0 {
		h.open--
	}
}

// forget counts a connection to an address that was closed as no longer open.
func (p *Pool) forget(address string, c *conn) {
	p.mu.Lock()
	if h, ok := p.hosts[address]; ok {
		delete(h.conns, c)
	}
	p.mu.Unlock()
	p.releaseSlot(address)
}

// Prune closes idle connections whose idle timeout has passed and drops addresses without connections.
func (p *Pool) Prune() {
	p.mu.Lock()
	var stale []*conn
	now := p.clock.Now()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				stale = append(stale, c)
			}
		}
		h.idle = kept
		if h.open == 0 && len(kept) == 0 {
			delete(p.hosts, address)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.close()
	}
}
