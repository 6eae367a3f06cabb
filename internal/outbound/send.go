package outbound

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

const (
	// maxMismatched is how many responses to other requests are read on a connection before it is closed.
	maxMismatched = 3
	// unidentifiedWait is how long a response is awaited after one without an ID on a connection in use again. A copy of an
	// earlier response is followed by the right one; an endpoint that leaves out the ID sends nothing more.
	unidentifiedWait = 2 * time.Second
	// syncWriteBytes is how much of a request is written before its response is read; the rest is written concurrently.
	syncWriteBytes = 16 << 10
)

// Target is the endpoint to which a request is sent.
type Target struct {
	Address string
	// MaxConnections limits this VM's connections to the address; 0 means no limit.
	MaxConnections int
	// MaxRest is how long a connection may have been idle to be used again; 0 means its idle timeout.
	MaxRest time.Duration
	// ResponseID returns the ID of the request to which a response with this header belongs, or an empty string if it has none; if
	// ResponseID is nil, every response on a connection belongs to the request that was sent last.
	ResponseID func(http.Header) string
	// RequestID is the ID of the request, or empty if the responses to it have none.
	RequestID string
	// OnHeadRead, unless it is nil, is called with how much was read of a response whose header is awaited; if it fails, so does
	// the request.
	OnHeadRead func(bytes int) error
	// Check, unless it is nil, asks the endpoint whether it still runs that answered the request. It is called after a response whose
	// end only the end of its connection marks.
	Check func(ctx context.Context) error
	// Unambiguous demands a connection on which no response without an ID has been received.
	Unambiguous bool
}

// Send sends a request once and returns its response as soon as the header was read. It fails with endpoint.NotSentError or
// ConnectionLimitError if no byte was written, and with endpoint.NoResponseError if the request may have run. It closes the
// connection when ctx ends.
func (p *Pool) Send(ctx context.Context, target Target, request Request) (*Response, error) {
	c, err := p.acquire(ctx, target)
	if err != nil {
		return nil, err
	}
	stopWatch := context.AfterFunc(ctx, c.close)
	written, err := writeRequest(c, request)
	if err != nil && !responseStarted(c) {
		stopWatch()
		c.close()
		if written == 0 {
			return nil, &endpoint.NotSentError{
				Address: target.Address,
				Cause:   err,
			}
		}
		return nil, noResponseError(target, err)
	}
	response, err := p.readResponse(c, target, request)
	if err != nil {
		stopWatch()
		c.close()
		return nil, noResponseError(target, err)
	}
	r := newResponse(p, target.Address, c, response, stopWatch)
	if r.CloseDelimited() && target.Check != nil {
		newest := p.newestConn()
		r.confirm = sync.OnceValue(func() error { return p.confirmEnd(ctx, c, target, newest) })
	}
	return r, nil
}

func noResponseError(target Target, err error) error {
	return &endpoint.NoResponseError{
		Address: target.Address,
		Cause:   err,
	}
}

// responseStarted reports whether a response began to arrive, although writing the request failed.
func responseStarted(c *conn) bool {
	_, err := c.reader.Peek(1)
	return err == nil
}

// writeRequest writes a request and returns how many bytes were written before it returned.
func writeRequest(c *conn, request Request) (int, error) {
	encoded := request.encode()
	c.written, c.writeErr = make(chan struct{}), nil
	n, err := c.socket.Write(encoded[:min(len(encoded), syncWriteBytes)])
	if err != nil || n == len(encoded) {
		c.writeErr = err
		close(c.written)
		return n, err
	}
	go func() {
		_, c.writeErr = c.socket.Write(encoded[n:])
		close(c.written)
	}()
	return n, nil
}

// readResponse reads responses, up to maxMismatched, until one certainly belongs to the request. It fails with HeadTooLargeError if
// a header, with the interim responses before it, exceeds the limit.
func (p *Pool) readResponse(c *conn, target Target, request Request) (*http.Response, error) {
	for range maxMismatched {
		response, err := readFinalResponse(c, target, request)
		if err != nil {
			return nil, err
		}
		if target.ResponseID == nil {
			return response, nil
		}
		id := target.ResponseID(response.Header)
		if id == target.RequestID || (id == "" && c.fresh()) {
			c.recordResponse(target.RequestID, id)
			return response, nil
		}
		c.mismatched = true
		if id == "" {
			timer := p.clock.AfterFunc(unidentifiedWait, c.close)
			defer timer.Stop()
		}
		if err := discard(response); err != nil {
			return nil, err
		}
	}
	return nil, &endpoint.RequestIDMismatchError{}
}

// protocolName begins each response.
const protocolName = "HTTP/"

// ProtocolError reports that an endpoint sent something else than a response.
type ProtocolError struct{}

// Error implements error.
func (e *ProtocolError) Error() string { return "what the endpoint sent is no HTTP response" }

// readFinalResponse reads the header of the next response that is not an interim one. It fails with endpoint.InvalidStatusError if it
// has an impossible status, which http.ReadResponse accepts, and at once with ProtocolError if no response begins.
func readFinalResponse(c *conn, target Target, request Request) (*http.Response, error) {
	c.head.limit(target.OnHeadRead)
	defer c.head.unlimit()
	for {
		if start, err := c.reader.Peek(len(protocolName)); err == nil && string(start) != protocolName {
			return nil, &ProtocolError{}
		}
		response, err := http.ReadResponse(c.reader, request.httpRequest())
		if err != nil {
			return nil, err
		}
		if isInterim(response.StatusCode) {
			continue
		}
		if err := endpoint.CheckStatus(response.StatusCode); err != nil {
			return nil, err
		}
		return response, checkLines(response.Header)
	}
}

// isInterim reports whether a final response follows one with a status.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// checkLines fails with HeadTooLargeError if a header has too many lines, which all came with the last bytes read.
func checkLines(header http.Header) error {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	if lines > maxHeadLines {
		return &HeadTooLargeError{Limit: maxHeadLines, Lines: true}
	}
	return nil
}

// idleTimeoutOf returns how long a connection may stay idle, from the Keep-Alive header of a response.
func idleTimeoutOf(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if ok && err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}
