package outbound_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
)

// fakeEndpoint is an endpoint that handles each connection with a function.
type fakeEndpoint struct {
	listener net.Listener
	requests atomic.Int64
}

func newFakeEndpoint(t *testing.T, handle func(s *fakeEndpoint, c net.Conn, r *bufio.Reader)) *fakeEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fakeEndpoint{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(s, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// readRequest reads and counts one complete request.
func (s *fakeEndpoint) readRequest(r *bufio.Reader) (*http.Request, bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, false
	}
	s.requests.Add(1)
	return request, true
}

func writeResponse(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) outbound.Request {
	return outbound.Request{
		Method: http.MethodPost,
		URI:    "/x?a=%2F",
		Host:   "h.example",
		Header: http.Header{"Id": {id}},
		Body:   []byte("body"),
	}
}

func newTarget(s *fakeEndpoint, id string) outbound.Target {
	return outbound.Target{
		Address:    s.listener.Addr().String(),
		ResponseID: func(h http.Header) string { return h.Get("Id") },
		RequestID:  id,
	}
}

func sendAndRead(t *testing.T, p *outbound.Pool, s *fakeEndpoint, id string) (string, error) {
	t.Helper()
	response, err := p.Send(t.Context(), newTarget(s, id), newRequest(id))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func newPool() *outbound.Pool { return outbound.NewPool(clockwork.NewRealClock()) }

func TestConnectionIsReused(t *testing.T) {
	s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
		for {
			request, ok := s.readRequest(r)
			if !ok {
				return
			}
			writeResponse(c, request.Header.Get("Id"), request.RequestURI)
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		body, err := sendAndRead(t, p, s, id)
		require.NoError(t, err)
		require.Equal(t, "/x?a=%2F", body)
	}
	require.EqualValues(t, 1, p.Opened())
}

// A request must not be sent again if its reused connection breaks after the endpoint has read it.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
		request, ok := s.readRequest(r)
		if !ok {
			return
		}
		writeResponse(c, request.Header.Get("Id"), "ok")
		_, _ = s.readRequest(r)
	})
	p := newPool()
	_, err := sendAndRead(t, p, s, "1")
	require.NoError(t, err)
	_, err = sendAndRead(t, p, s, "2")
	var noResponse *endpoint.NoResponseError
	require.ErrorAs(t, err, &noResponse)
	require.EqualValues(t, 2, s.requests.Load())
}

func TestExtraResponseClosesConnection(t *testing.T) {
	s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
		for {
			request, ok := s.readRequest(r)
			if !ok {
				return
			}
			writeResponse(c, request.Header.Get("Id"), "ok")
			writeResponse(c, request.Header.Get("Id"), "again")
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2"} {
		body, err := sendAndRead(t, p, s, id)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 2, s.requests.Load())
}

func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
		request, ok := s.readRequest(r)
		if !ok {
			return
		}
		writeResponse(c, "other", "foreign")
		writeResponse(c, request.Header.Get("Id"), "mine")
	})
	body, err := sendAndRead(t, newPool(), s, "1")
	require.NoError(t, err)
	require.Equal(t, "mine", body)
}

func TestOnlyResponsesToOtherRequests(t *testing.T) {
	s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
		if _, ok := s.readRequest(r); !ok {
			return
		}
		for range 3 {
			writeResponse(c, "other", "foreign")
		}
	})
	_, err := sendAndRead(t, newPool(), s, "1")
	var noResponse *endpoint.NoResponseError
	require.ErrorAs(t, err, &noResponse)
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "Content-Length: 100\r\n\r\npart",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
				request, ok := s.readRequest(r)
				if ok {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", request.Header.Get("Id"), head)
				}
			})
			_, err := sendAndRead(t, newPool(), s, "1")
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

func TestMalformedResponseIsNoResponse(t *testing.T) {
	s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
		if _, ok := s.readRequest(r); ok {
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
		}
	})
	_, err := sendAndRead(t, newPool(), s, "1")
	var noResponse *endpoint.NoResponseError
	require.ErrorAs(t, err, &noResponse)
}

// An endpoint may respond before it has read a long request body; the connection must not be reused then.
func TestEarlyResponseToLongBody(t *testing.T) {
	release := make(chan struct{})
	s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.requests.Add(1)
		writeResponse(c, request.Header.Get("Id"), "early")
		<-release
	})
	p := newPool()
	m := newRequest("1")
	m.Body = []byte(strings.Repeat("x", 64<<20))
	response, err := p.Send(t.Context(), newTarget(s, "1"), m)
	require.NoError(t, err)
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, "early", string(body))
	close(release)
	_, err = sendAndRead(t, p, s, "2")
	require.NoError(t, err)
	require.EqualValues(t, 2, p.Opened())
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = newPool().Send(t.Context(), outbound.Target{Address: address}, newRequest("1"))
	var notSent *endpoint.NotSentError
	require.ErrorAs(t, err, &notSent)
}

func TestConnectionLimit(t *testing.T) {
	s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
		request, ok := s.readRequest(r)
		if ok {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\n", request.Header.Get("Id"))
			_, _ = s.readRequest(r)
		}
	})
	p := newPool()
	to := newTarget(s, "1")
	to.MaxConnections = 1
	open, err := p.Send(t.Context(), to, newRequest("1"))
	require.NoError(t, err)
	_, err = p.Send(t.Context(), to, newRequest("1"))
	var full *outbound.ConnectionLimitError
	require.ErrorAs(t, err, &full)
	open.Close()
	again, err := p.Send(t.Context(), to, newRequest("1"))
	require.NoError(t, err)
	again.Close()
}

func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	s := newFakeEndpoint(t, func(s *fakeEndpoint, _ net.Conn, r *bufio.Reader) {
		if _, ok := s.readRequest(r); ok {
			_, _ = r.ReadByte()
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error)
	go func() {
		_, err := newPool().Send(ctx, newTarget(s, "1"), newRequest("1"))
		failed <- err
	}()
	require.Eventually(t, func() bool { return s.requests.Load() == 1 }, waitTimeout, pollInterval)
	cancel()
	<-closed
	require.Error(t, <-failed)
}

// The pool must not reuse a connection that has been idle for longer than the endpoint's Keep-Alive timeout allows.
func TestIdleConnectionExpires(t *testing.T) {
	s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
		for {
			request, ok := s.readRequest(r)
			if !ok {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
		}
	})
	clock := clockwork.NewFakeClock()
	p := outbound.NewPool(clock)
	for i, pause := range []int{0, 1, 2} {
		clock.Advance(seconds(pause))
		_, err := sendAndRead(t, p, s, fmt.Sprint(i))
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, p.Opened())
}
