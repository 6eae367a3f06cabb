package outbound

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxDiscard bounds the body of an answer to another request that is read past.
const maxDiscard = 1 << 20

// Reply is an answer whose body is read from the connection.
type Reply struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it isn't known.
	Length int64

	pool     *Pool
	address  string
	conn     *conn
	response *http.Response
	stop     func() bool
	once     sync.Once
	whole    bool
}

func newReply(p *Pool, address string, c *conn, response *http.Response, stop func() bool) *Reply {
	return &Reply{
		Status:   response.StatusCode,
		Header:   response.Header,
		Length:   response.ContentLength,
		pool:     p,
		address:  address,
		conn:     c,
		response: response,
		stop:     stop,
	}
}

// Read implements io.Reader; io.EOF comes only after the whole body.
func (r *Reply) Read(b []byte) (int, error) {
	n, err := r.response.Body.Read(b)
	if errors.Is(err, io.EOF) {
		r.whole = true
		r.Close()
	}
	return n, err
}

// Close ends the answer; the connection is kept only after a whole body and with nothing more to read on it.
func (r *Reply) Close() {
	r.once.Do(func() {
		alive := r.stop()
		if alive && r.whole && r.reusable() {
			r.conn.keep = keepOf(r.Header)
			r.pool.put(r.address, r.conn)
			return
		}
		r.conn.close()
	})
}

func (r *Reply) reusable() bool {
	return !r.response.Close && r.conn.reader.Buffered() == 0 && r.conn.writing.Load() == 0 && !r.conn.broken.Load() &&
		!r.closeDelimited()
}

func (r *Reply) closeDelimited() bool {
	return r.response.ContentLength < 0 && len(r.response.TransferEncoding) == 0
}

func discard(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscard))
	if err == nil && n == maxDiscard {
		return io.ErrShortBuffer
	}
	return err
}
