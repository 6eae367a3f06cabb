package outbound

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const readBufferBytes = 4 << 10

// conn is a connection to an endpoint, used by one request at a time.
type conn struct {
	socket net.Conn
	reader *bufio.Reader
	// head limits what reader reads from the socket.
	head *headLimiter
	// idleSince is when the connection became idle; it is not reused once idleTimeout has passed since.
	idleSince   time.Time
	idleTimeout time.Duration
	closed      atomic.Bool
	// pendingWrites counts the writes that go on while a response is read; writeFailed is set if one failed.
	pendingWrites atomic.Int32
	writeFailed   atomic.Bool
	onClose       func()
}

func newConn(socket net.Conn, onClose func()) *conn {
	head := &headLimiter{
		reader:    socket,
		remaining: -1,
	}
	return &conn{
		socket:      socket,
		reader:      bufio.NewReaderSize(head, readBufferBytes),
		head:        head,
		idleTimeout: defaultIdleTimeout,
		onClose:     onClose,
	}
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.socket.Close()
		c.onClose()
	}
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
