package outbound

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const readBuffer = 4 << 10

// conn is a connection to an endpoint, used by one request at a time.
type conn struct {
	socket net.Conn
	reader *bufio.Reader
	// idleSince and keep bound how long the connection may be used again.
	idleSince time.Time
	keep      time.Duration
	closed    atomic.Bool
	// writing counts writes under way beside the reader; broken tells that one failed.
	writing atomic.Int32
	broken  atomic.Bool
	onClose func()
}

func newConn(socket net.Conn, onClose func()) *conn {
	return &conn{
		socket:  socket,
		reader:  bufio.NewReaderSize(socket, readBuffer),
		keep:    defaultKeep,
		onClose: onClose,
	}
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.socket.Close()
		c.onClose()
	}
}

// quiet reports whether the idle connection is open and no stray byte waits on it.
func (c *conn) quiet() bool {
	if c.closed.Load() || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
