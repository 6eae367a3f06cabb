package callers

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// progressBytes is how much a request must grow for that to count.
	progressBytes = 16 << 10
	// headSlack is by how much a head may exceed the limit, which does not say whether the request line counts; net/http has the same.
	headSlack = 4 << 10
	// lingerTime and lingerBytes bound what is read after a refusal, without which the kernel would discard the response.
	lingerTime  = 5 * time.Millisecond
	lingerBytes = 256 << 10
)

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// Conn is a connection of a caller.
type Conn struct {
	*net.TCPConn
	guard *Guard

	// current is the phase; it changes under the guard's lock, which also guards element (in the list of the phase), bytes (what the
	// request holds), since (when the phase began, in nanoseconds of Unix time) and silentAtRefusal (whether the caller expected no
	// response).
	current         atomic.Int32
	element         *list.Element
	bytes           int64
	silentAtRefusal bool
	since           int64
	refused         atomic.Pointer[RefusedError]
	// progress is when the request last grew, in nanoseconds of Unix time.
	progress atomic.Int64
	closed   sync.Once

	// The rest is used by the goroutine that reads, of which net/http has one at a time: head, its cost, the bytes of the body since progress
	// was set, and whether net/http responds to the request or a response was written.
	head      headScanner
	headBytes int64
	unmarked  int
	responded bool
}

func (c *Conn) phase() phase { return phase(c.current.Load()) }

// silent reports whether the caller of a refused connection expected no response; the guard's lock or the refusal orders the access.
func (c *Conn) silent() bool { return c.silentAtRefusal }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refused.Load() != nil {
		return 0, c.endRefused()
	}
	n, err := c.TCPConn.Read(p)
	if c.refused.Load() != nil {
		return 0, c.endRefused()
	}
	switch c.phase() {
	case idle:
		if n > 0 {
			c.startHead()
			return n, c.readHead(p[:n], err)
		}
	case readingHead:
		return n, c.readHead(p[:n], err)
	case readingBody:
		if c.unmarked += n; c.unmarked >= progressBytes {
			c.unmarked = 0
			c.progress.Store(c.guard.Clock.Now().UnixNano())
		}
	}
	return n, err
}

// startHead begins the head of a request that follows another one.
func (c *Conn) startHead() {
	c.guard.mu.Lock()
	c.guard.enter(c, readingHead)
	c.guard.mu.Unlock()
	c.progress.Store(c.guard.Clock.Now().UnixNano())
	_ = c.SetReadDeadline(c.guard.Clock.Now().Add(c.guard.HeadTime()))
}

// readHead charges a part of a head and returns the error of the read, which is another one if the request is refused.
func (c *Conn) readHead(p []byte, err error) error {
	if len(p) > 0 && !c.head.ended {
		c.head.scan(p)
		c.headBytes = c.head.cost()
		if c.head.bytes > c.guard.HeadBytes()+headSlack {
			return c.refuseHead(HeadTooLarge)
		}
		if c.guard.charge(c, c.headBytes) != nil {
			return c.endRefused()
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.head.bytes > 0 {
		return c.refuseHead(HeadTooSlow)
	}
	return err
}

func (c *Conn) refuseHead(reason Reason) error {
	c.guard.mu.Lock()
	if c.refused.Load() == nil {
		c.guard.refuse(c, reason)
	}
	c.guard.mu.Unlock()
	c.guard.OnRefuse(c.refused.Load())
	return c.endRefused()
}

// endRefused responds to a request whose head is not complete and returns the error that makes net/http close the connection. To others,
// the handler responds.
func (c *Conn) endRefused() error {
	refused := c.refused.Load()
	if !c.silent() && !c.responded {
		c.responded = true
		writeRefusal(c.TCPConn, refused)
		linger(c.TCPConn)
	}
	return &net.OpError{
		Op:  "read",
		Net: "tcp",
		Err: refused,
	}
}

// writeRefusal writes a response; it does not wait for the caller.
func writeRefusal(c *net.TCPConn, refused *RefusedError) {
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	status, retry := refused.Status(), ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
	_ = c.CloseWrite()
}

// linger reads what has already arrived, without which the kernel would discard the response.
func linger(c *net.TCPConn) {
	var discarded [4 << 10]byte
	for total := 0; total < lingerBytes; {
		n, err := c.Read(discarded[:])
		if err != nil {
			return
		}
		total += n
	}
}

// SetReadDeadline implements net.Conn. The time for a head is the configuration's; a refused connection keeps a deadline in the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.phase() == readingHead && !t.IsZero() {
		if limit := c.guard.Clock.Now().Add(c.guard.HeadTime()); limit.Before(t) {
			t = limit
		}
	}
	err := c.TCPConn.SetReadDeadline(t)
	if c.refused.Load() != nil {
		return c.TCPConn.SetReadDeadline(longAgo)
	}
	return err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.closed.Do(func() {
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.guard.release(c)
		c.guard.enter(c, closing)
		c.guard.open--
	})
	return err
}
