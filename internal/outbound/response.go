package outbound

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxDiscardBytes limits the size of the body that is read and dropped when a response belongs to another request.
const maxDiscardBytes = 1 << 20

// Response is the response to a request; its body is read from the connection.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is unknown.
	Length int64

	pool     *Pool
	address  string
	conn     *conn
	response *http.Response
	// stopWatch keeps the connection open when the request's context ends; it returns false if that has already ended.
	stopWatch func() bool
	// confirm tells whether the endpoint still runs after the connection has ended; nil if that need not or can't be known.
	confirm func() error
	once    sync.Once
	// complete is set once the whole body was read.
	complete atomic.Bool
	// ended is when the end of the body was read, zero before.
	ended time.Time
}

func newResponse(p *Pool, address string, c *conn, response *http.Response, stopWatch func() bool) *Response {
	return &Response{
		Status:    response.StatusCode,
		Header:    response.Header,
		Length:    response.ContentLength,
		pool:      p,
		address:   address,
		conn:      c,
		response:  response,
		stopWatch: stopWatch,
	}
}

// Read implements io.Reader; it returns io.EOF only after the complete body. If the body ends with its connection, it is complete
// only if the endpoint still runs; otherwise, UnconfirmedEndError takes the place of io.EOF.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.response.Body.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if r.ended.IsZero() {
		r.ended = r.pool.clock.Now()
	}
	if r.CloseDelimited() {
		if reset := r.conn.resetError(); reset != nil {
			return n, reset
		}
		if r.confirm != nil {
			if err := r.confirm(); err != nil {
				return n, err
			}
		}
	}
	r.complete.Store(true)
	r.Close()
	return n, err
}

// Ended returns when the end of the body was read, before the endpoint was asked whether it still runs. It is not to be called while
// Read is.
func (r *Response) Ended() time.Time { return r.ended }

// Close ends the response; the connection is reused only if the complete body was read and no more data is waiting on it.
func (r *Response) Close() {
	r.once.Do(func() {
		open := r.stopWatch()
		if open && r.complete.Load() && r.canReuse() {
			r.conn.idleTimeout = idleTimeoutOf(r.Header)
			r.pool.putIdle(r.address, r.conn)
			return
		}
		r.conn.close()
	})
}

func (r *Response) canReuse() bool {
	return !r.response.Close && !r.conn.mismatched && r.conn.reader.Buffered() == 0 && r.conn.writeEnded() &&
		r.conn.writeErr == nil && !r.CloseDelimited()
}

// CloseDelimited reports whether the end of the body is marked only by the end of the connection. Responses to HEAD have no body.
func (r *Response) CloseDelimited() bool {
	return r.response.ContentLength < 0 && len(r.response.TransferEncoding) == 0 && r.response.Body != http.NoBody
}

// discard reads and drops the body of a response; it fails if the body is too large.
func discard(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes))
	if err == nil && n == maxDiscardBytes {
		return io.ErrShortBuffer
	}
	return err
}
