package outbound

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 4 << 10
	// maxRecentIDs is how many requests a connection remembers.
	maxRecentIDs = 64
)

// conn is a connection to an endpoint, used by one request at a time.
type conn struct {
	// number orders the connections of a pool by the time of their opening.
	number uint64
	socket net.Conn
	reader *bufio.Reader
	// head limits what reader reads from the socket.
	head *headLimiter
	// idleSince is when the connection became idle; it is not reused once idleTimeout has passed since.
	idleSince   time.Time
	idleTimeout time.Duration
	closed      atomic.Bool
	// written is closed once the request was written whole or failed; writeErr is why it failed, to be read after that.
	written  chan struct{}
	writeErr error
	onClose  func()
	// used is set once a request got its response. recentIDs are the IDs of the latest requests that did.
	used      bool
	recentIDs []string
	// unidentified is set once a response without an ID was taken for a request's own, mismatched once one was not.
	unidentified bool
	mismatched   bool
}

func newConn(socket net.Conn) *conn {
	head := &headLimiter{
		reader: socket,
	}
	return &conn{
		socket:      socket,
		reader:      bufio.NewReaderSize(head, readBufferBytes),
		head:        head,
		idleTimeout: defaultIdleTimeout,
		written:     make(chan struct{}),
	}
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.socket.Close()
		c.onClose()
	}
}

// fresh reports whether no response has been received on the connection, so that none can be repeated.
func (c *conn) fresh() bool { return !c.used && !c.mismatched }

// recordResponse records that a request got its response; each ID is empty if there is none.
func (c *conn) recordResponse(requestID, responseID string) {
	c.used = true
	if responseID == "" {
		c.unidentified = true
	}
	if requestID == "" {
		return
	}
	if len(c.recentIDs) == maxRecentIDs {
		c.recentIDs = append(c.recentIDs[:0], c.recentIDs[1:]...)
	}
	c.recentIDs = append(c.recentIDs, requestID)
	// The endpoint leaves out IDs, so its next response could not be told from a copy of this one.
	if responseID == "" {
		c.mismatched = true
	}
}

// suits reports whether a response to the target's request can be told from copies of earlier responses on the connection.
func (c *conn) suits(target Target) bool {
	if target.Unambiguous && c.unidentified {
		return false
	}
	return target.RequestID == "" || !slices.Contains(c.recentIDs, target.RequestID)
}

// usable reports whether an idle connection is still open and has no unexpected data to be read.
func (c *conn) usable() bool {
	if c.closed.Load() || c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// writeEnded reports whether the request was written whole or failed.
func (c *conn) writeEnded() bool {
	select {
	case <-c.written:
		return true
	default:
		return false
	}
}

// resetError returns the error of a reset that was reported to the write of the request: reads then find the end of the connection, as if
// the endpoint had ended its side. A reset that came after that end fails a write with EPIPE.
func (c *conn) resetError() error {
	if !c.closedByKernel() {
		return nil
	}
	// A write fails at once on a connection that is closed.
	<-c.written
	if errors.Is(c.writeErr, syscall.ECONNRESET) {
		return c.writeErr
	}
	return nil
}

// closedByKernel reports whether the connection is closed in both directions, as after a reset.
func (c *conn) closedByKernel() bool { return c.tcpState() == unix.BPF_TCP_CLOSE }
