package outbound

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// settleTime is how long after the end of one connection those of a process that was killed are all closed.
const settleTime = 50 * time.Millisecond

// UnconfirmedEndError reports a body that ended with its connection at an endpoint that may be gone: the connections of a process that
// is killed end in good order.
type UnconfirmedEndError struct {
	Address string
	// Cause is why the endpoint could not be reached after the end.
	Cause error
}

// Error implements error.
func (e *UnconfirmedEndError) Error() string {
	return "response ended without a mark and " + e.Address + " can't be reached: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnconfirmedEndError) Unwrap() error { return e.Cause }

// confirmEnd fails with UnconfirmedEndError unless the process still runs that ended a connection to an address: it accepts a new
// connection, which is kept for requests, or one that was open before still is.
func (p *Pool) confirmEnd(ctx context.Context, ended *conn, address string) error {
	// The end leaves room for the new connection within the endpoint's limit.
	ended.close()
	err := p.Open(ctx, address)
	if err == nil {
		return nil
	}
	// An endpoint that is about to stop accepts no connections while it completes its responses.
	p.clock.Sleep(settleTime)
	if p.anyEstablished(address) {
		return nil
	}
	return &UnconfirmedEndError{
		Address: address,
		Cause:   err,
	}
}

// anyEstablished reports whether the endpoint holds a connection open.
func (p *Pool) anyEstablished(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		return false
	}
	for c := range h.conns {
		if c.tcpState() == unix.BPF_TCP_ESTABLISHED {
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
