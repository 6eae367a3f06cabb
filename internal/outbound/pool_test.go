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

// scripted is an endpoint whose every connection is played by a function.
type scripted struct {
	listener net.Listener
	requests atomic.Int64
}

func newScripted(t *testing.T, play func(s *scripted, c net.Conn, r *bufio.Reader)) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scripted{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				play(s, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// take reads one whole request.
func (s *scripted) take(r *bufio.Reader) (*http.Request, bool) {
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

func answer(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func message(id string) outbound.Message {
	return outbound.Message{
		Method: http.MethodPost,
		URI:    "/x?a=%2F",
		Host:   "h.example",
		Header: http.Header{"Id": {id}},
		Body:   []byte("body"),
	}
}

func target(s *scripted, id string) outbound.Target {
	return outbound.Target{
		Address: s.listener.Addr().String(),
		Mine:    func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func send(t *testing.T, p *outbound.Pool, s *scripted, id string) (string, error) {
	t.Helper()
	reply, err := p.Send(t.Context(), target(s, id), message(id))
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := io.ReadAll(reply)
	return string(body), err
}

func newPool() *outbound.Pool { return outbound.NewPool(clockwork.NewRealClock()) }

func TestConnectionIsKept(t *testing.T) {
	s := newScripted(t, func(s *scripted, c net.Conn, r *bufio.Reader) {
		for {
			request, ok := s.take(r)
			if !ok {
				return
			}
			answer(c, request.Header.Get("Id"), request.RequestURI)
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		body, err := send(t, p, s, id)
		require.NoError(t, err)
		require.Equal(t, "/x?a=%2F", body)
	}
	require.EqualValues(t, 1, p.Opened())
}

// A kept connection that breaks after the request was taken must not lead to a second send.
func TestBrokenKeptConnectionIsNotRepeated(t *testing.T) {
	s := newScripted(t, func(s *scripted, c net.Conn, r *bufio.Reader) {
		request, ok := s.take(r)
		if !ok {
			return
		}
		answer(c, request.Header.Get("Id"), "ok")
		_, _ = s.take(r)
	})
	p := newPool()
	_, err := send(t, p, s, "1")
	require.NoError(t, err)
	_, err = send(t, p, s, "2")
	var unanswered *endpoint.UnansweredError
	require.ErrorAs(t, err, &unanswered)
	require.EqualValues(t, 2, s.requests.Load())
}

func TestExtraAnswerEndsTheConnection(t *testing.T) {
	s := newScripted(t, func(s *scripted, c net.Conn, r *bufio.Reader) {
		for {
			request, ok := s.take(r)
			if !ok {
				return
			}
			answer(c, request.Header.Get("Id"), "ok")
			answer(c, request.Header.Get("Id"), "again")
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2"} {
		body, err := send(t, p, s, id)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 2, s.requests.Load())
}

func TestLateAnswerOfAnotherRequestIsSkipped(t *testing.T) {
	s := newScripted(t, func(s *scripted, c net.Conn, r *bufio.Reader) {
		request, ok := s.take(r)
		if !ok {
			return
		}
		answer(c, "other", "foreign")
		answer(c, request.Header.Get("Id"), "mine")
	})
	body, err := send(t, newPool(), s, "1")
	require.NoError(t, err)
	require.Equal(t, "mine", body)
}

func TestOnlyForeignAnswers(t *testing.T) {
	s := newScripted(t, func(s *scripted, c net.Conn, r *bufio.Reader) {
		if _, ok := s.take(r); !ok {
			return
		}
		for range 3 {
			answer(c, "other", "foreign")
		}
	})
	_, err := send(t, newPool(), s, "1")
	var unanswered *endpoint.UnansweredError
	require.ErrorAs(t, err, &unanswered)
}

func TestTruncatedAnswerIsNoEnd(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "Content-Length: 100\r\n\r\npart",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newScripted(t, func(s *scripted, c net.Conn, r *bufio.Reader) {
				request, ok := s.take(r)
				if ok {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", request.Header.Get("Id"), head)
				}
			})
			_, err := send(t, newPool(), s, "1")
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

func TestGarbageIsNoAnswer(t *testing.T) {
	s := newScripted(t, func(s *scripted, c net.Conn, r *bufio.Reader) {
		if _, ok := s.take(r); ok {
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
		}
	})
	_, err := send(t, newPool(), s, "1")
	var unanswered *endpoint.UnansweredError
	require.ErrorAs(t, err, &unanswered)
}

// An endpoint may answer before it has read a long body; the connection must not carry another request then.
func TestEarlyAnswerToLongBody(t *testing.T) {
	release := make(chan struct{})
	s := newScripted(t, func(s *scripted, c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.requests.Add(1)
		answer(c, request.Header.Get("Id"), "early")
		<-release
	})
	p := newPool()
	m := message("1")
	m.Body = []byte(strings.Repeat("x", 64<<20))
	reply, err := p.Send(t.Context(), target(s, "1"), m)
	require.NoError(t, err)
	body, err := io.ReadAll(reply)
	require.NoError(t, err)
	require.Equal(t, "early", string(body))
	close(release)
	_, err = send(t, p, s, "2")
	require.NoError(t, err)
	require.EqualValues(t, 2, p.Opened())
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = newPool().Send(t.Context(), outbound.Target{Address: address}, message("1"))
	var unsent *endpoint.UnsentError
	require.ErrorAs(t, err, &unsent)
}

func TestCapOfConnections(t *testing.T) {
	s := newScripted(t, func(s *scripted, c net.Conn, r *bufio.Reader) {
		request, ok := s.take(r)
		if ok {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\n", request.Header.Get("Id"))
			_, _ = s.take(r)
		}
	})
	p := newPool()
	to := target(s, "1")
	to.MaxConnections = 1
	open, err := p.Send(t.Context(), to, message("1"))
	require.NoError(t, err)
	_, err = p.Send(t.Context(), to, message("1"))
	var full *outbound.CapError
	require.ErrorAs(t, err, &full)
	open.Close()
	again, err := p.Send(t.Context(), to, message("1"))
	require.NoError(t, err)
	again.Close()
}

func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := newScripted(t, func(s *scripted, _ net.Conn, r *bufio.Reader) {
		if _, ok := s.take(r); ok {
			_, _ = r.ReadByte()
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error)
	go func() {
		_, err := newPool().Send(ctx, target(s, "1"), message("1"))
		failed <- err
	}()
	require.Eventually(t, func() bool { return s.requests.Load() == 1 }, waitLimit, tick)
	cancel()
	<-closed
	require.Error(t, <-failed)
}

// The pool must not use a connection for longer than the endpoint keeps it idle.
func TestIdleConnectionExpires(t *testing.T) {
	s := newScripted(t, func(s *scripted, c net.Conn, r *bufio.Reader) {
		for {
			request, ok := s.take(r)
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
		_, err := send(t, p, s, fmt.Sprint(i))
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, p.Opened())
}
