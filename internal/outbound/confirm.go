package outbound

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

const (
	// checkTimeout limits the time in which an endpoint tells that it still runs; a sound one may be silent for a second.
	checkTimeout = 1500 * time.Millisecond
	// settleTime is how long after its listener the connections of a process that was killed are all closed.
	settleTime = 50 * time.Millisecond
)

// UnconfirmedEndError reports a body that ended with its connection at an endpoint that may be gone: the connections of a process that
// is killed end in good order.
type UnconfirmedEndError struct {
	Address string
	// Cause is why the endpoint could not be asked after the end.
	Cause error
}

// Error implements error.
func (e *UnconfirmedEndError) Error() string {
	return "response ended without a mark and " + e.Address + " may be gone: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnconfirmedEndError) Unwrap() error { return e.Cause }

// confirmEnd fails with UnconfirmedEndError unless the endpoint still runs whose connection ended, as far as it answers target.Check or
// holds a connection open whose number is not above newest, the one that was opened last before the response. That it accepts connections
// does not show that: the kernel does so for a short time after the process was killed, and another process may have followed.
func (p *Pool) confirmEnd(ctx context.Context, ended *conn, target Target, newest uint64) error {
	// The end leaves room for another connection within the endpoint's limit.
	ended.close()
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, checkTimeout)
	defer cancel()
	err := target.Check(ctx)
	if err == nil {
		return nil
	}
	// An endpoint that is about to stop accepts no connections while it completes its responses.
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.clock.Sleep(settleTime)
		if p.anyEstablished(target.Address, newest) {
			return nil
		}
	}
	// The request was sent, so the error must not look like one of a request that was not.
	var notSent *endpoint.NotSentError
	if errors.As(err, &notSent) {
		err = notSent.Cause
	}
	return &UnconfirmedEndError{
		Address: target.Address,
		Cause:   err,
	}
}

// newestConn returns the number of the connection that was opened last.
func (p *Pool) newestConn() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest
}

// anyEstablished reports whether the endpoint holds a connection open whose number is not above newest.
func (p *Pool) anyEstablished(address string, newest uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.host(address).conns {
		if c.number <= newest && !c.closed.Load() && c.tcpState() == unix.BPF_TCP_ESTABLISHED {
			return true
		}
	}
	return false
}

// tcpState returns the state of the connection, or -1 if it is unknown.
func (c *conn) tcpState() int {
	syscallConn, ok := c.socket.(syscall.Conn)
	if !ok {
		return -1
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return -1
	}
	state := -1
	err = rawConn.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = int(info.State)
		}
	})
	if err != nil {
		return -1
	}
	return state
}
