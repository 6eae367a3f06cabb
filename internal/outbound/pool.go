package outbound

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

const (
	// dialTimeout bounds a new connection; two regions are 60 ms apart, and a lost opening packet is sent again after 1 s.
	dialTimeout = 700 * time.Millisecond
	// silentTimeout is after how long without an acknowledgement a connection counts as dead.
	silentTimeout = 2 * time.Second
	// keepAlivePeriod is the pause between keep-alive probes, keepAliveProbes how many may go unanswered.
	keepAlivePeriod = time.Second
	keepAliveProbes = 2
	// defaultKeep is how long an idle connection is kept when the endpoint does not say.
	defaultKeep = 4 * time.Second
	// keepMargin is how long before the endpoint's idle limit a connection is no longer used.
	keepMargin = 500 * time.Millisecond
)

// CapError reports that no further connection to an endpoint is allowed to this VM.
type CapError struct {
	Address string
	Cap     int
}

// Error implements error.
func (e *CapError) Error() string { return "connection limit reached at " + e.Address }

// Pool keeps connections to endpoints.
type Pool struct {
	clock  clockwork.Clock
	dialer *net.Dialer

	mu     sync.Mutex
	hosts  map[string]*host
	opened uint64
}

type host struct {
	idle []*conn
	open int
}

// NewPool returns an empty pool.
func NewPool(clock clockwork.Clock) *Pool {
	return &Pool{
		clock:  clock,
		dialer: NewDialer(),
		hosts:  make(map[string]*host),
	}
}

// NewDialer returns a dialer whose connections end when the other side falls silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAlivePeriod,
			Interval: keepAlivePeriod,
			Count:    keepAliveProbes,
		},
		Control: setUserTimeout(silentTimeout),
	}
}

// setUserTimeout returns a dialer's control function that bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// get returns an idle connection or opens one; most bounds the open ones, 0 means no bound.
func (p *Pool) get(ctx context.Context, address string, most int) (*conn, error) {
	for {
		c, err := p.take(address, most)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		c.close()
	}
	socket, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, &endpoint.UnsentError{
			Address: address,
			Cause:   err,
		}
	}
	return newConn(socket, func() { p.release(address) }), nil
}

// take returns the connection used last, or nil after counting a new one in.
func (p *Pool) take(address string, most int) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	now := p.clock.Now()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if now.Sub(c.idleSince) < c.keep {
			return c, nil
		}
		go c.close()
	}
	if most > 0 && h.open >= most {
		return nil, &CapError{
			Address: address,
			Cap:     most,
		}
	}
	h.open++
	p.opened++
	return nil, nil
}

func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = p.clock.Now()
	h := p.hosts[address]
	h.idle = append(h.idle, c)
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.hosts[address]; ok && h.open > 0 {
		h.open--
	}
}

// Prune closes idle connections past their time and forgets hosts without any.
func (p *Pool) Prune() {
	p.mu.Lock()
	var stale []*conn
	now := p.clock.Now()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Sub(c.idleSince) < c.keep {
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
