package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

const waitTimeout = 30 * time.Second

// server is a guarded server whose handler completes each request and then waits for a value of release.
type server struct {
	guard   *Guard
	address string
	refused chan *RefusedError
	started chan struct{}
	release chan struct{}
}

func startServer(t *testing.T, bytes int64, connections int) *server {
	t.Helper()
	s := &server{
		refused: make(chan *RefusedError, 1000),
		started: make(chan struct{}, 1000),
		release: make(chan struct{}),
	}
	s.guard = New(Options{
		Bytes:       bytes,
		Connections: connections,
		HeadBytes:   func() int { return 16 << 10 },
		HeadTime:    func() time.Duration { return waitTimeout },
		OnRefuse:    func(e *RefusedError) { s.refused <- e },
		Clock:       clockwork.NewRealClock(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = listener.Addr().String()
	h := &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ConnContext:       Context,
		ConnState:         s.guard.Track,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = h.Serve(s.guard.Listen(listener)) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	c := FromContext(r.Context())
	if c.Hold(int(r.ContentLength)) == nil {
		s.started <- struct{}{}
		_, err := io.Copy(io.Discard, r.Body)
		if err == nil && c.Complete() == nil {
			<-s.release
			return
		}
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(c.Refused().Status())
}

func (s *server) dial(t *testing.T, content string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(c, content)
	require.NoError(t, err)
	return c
}

func requireStatus(t *testing.T, c net.Conn, status int) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, status, response.StatusCode)
}

const (
	complete   = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	incomplete = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\nbody"
)

// A request that was read completely is never given up, whatever arrives afterwards; incomplete ones are, with a response.
func TestCompleteRequestsAreKept(t *testing.T) {
	s := startServer(t, 600_000, 100)
	kept := s.dial(t, complete)
	<-s.started
	require.Eventually(t, func() bool { s.guard.mu.Lock(); defer s.guard.mu.Unlock(); return s.guard.complete > 0 }, waitTimeout, time.Millisecond)
	first := s.dial(t, strings.Replace(incomplete, "500000", "300000", 1))
	<-s.started
	second := s.dial(t, strings.Replace(incomplete, "500000", "299000", 1))
	<-s.started
	requireStatus(t, first, http.StatusServiceUnavailable)
	close(s.release)
	requireStatus(t, kept, http.StatusOK)
	_ = second.Close()
	_ = kept.Close()
	require.Eventually(t, func() bool { return s.guard.Open() == 0 && s.guard.Held() == 0 }, waitTimeout, time.Millisecond)
	require.Zero(t, s.guard.claimed)
	require.Zero(t, s.guard.complete)
}

// Too many connections are no reason to give up a complete request: the incomplete one goes.
func TestIncompleteRequestsGiveWay(t *testing.T) {
	s := startServer(t, 10<<20, 4)
	var kept []net.Conn
	for range 3 {
		kept = append(kept, s.dial(t, complete))
		<-s.started
	}
	require.Eventually(t, func() bool {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		return s.guard.waiting[readingBody].Len() == 0
	}, waitTimeout, time.Millisecond)
	first := s.dial(t, incomplete)
	<-s.started
	fifth := s.dial(t, complete)
	<-s.started
	requireStatus(t, first, http.StatusServiceUnavailable)
	close(s.release)
	for _, c := range append(kept, fifth) {
		requireStatus(t, c, http.StatusOK)
	}
}

// Of incomplete requests the largest is refused, and a small one is served.
func TestLargestIsRefused(t *testing.T) {
	s := startServer(t, 600_000, 100)
	large := s.dial(t, incomplete)
	<-s.started
	middle := s.dial(t, strings.Replace(incomplete, "500000", "200000", 1))
	<-s.started
	requireStatus(t, large, http.StatusServiceUnavailable)
	require.Equal(t, Memory, (<-s.refused).Reason)
	small := s.dial(t, complete)
	s.release <- struct{}{}
	requireStatus(t, small, http.StatusOK)
	_ = middle.Close()
}

// A head over the limit gets a response, also if it does not end.
func TestHeadTooLarge(t *testing.T) {
	s := startServer(t, 1<<20, 100)
	c := s.dial(t, "GET / HTTP/1.1\r\n"+strings.Repeat("a: b\r\n", 5000))
	requireStatus(t, c, http.StatusRequestHeaderFieldsTooLarge)
	require.Equal(t, HeadTooLarge, (<-s.refused).Reason)
}

// Silent connections give way to new ones.
func TestSilentConnectionsAreClosed(t *testing.T) {
	s := startServer(t, 1<<20, 4)
	for range 20 {
		s.dial(t, "")
	}
	c := s.dial(t, complete)
	s.release <- struct{}{}
	requireStatus(t, c, http.StatusOK)
	require.LessOrEqual(t, s.guard.Open(), 4)
}

// A connection serves several requests, of which some follow each other at once, and keeps no charges between them.
func TestRequestsOnOneConnection(t *testing.T) {
	s := startServer(t, 1<<20, 4)
	close(s.release)
	c := s.dial(t, complete+complete+complete)
	reader := bufio.NewReader(c)
	for range 3 {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Eventually(t, func() bool { return s.guard.Held() == 0 }, waitTimeout, time.Millisecond)
	_, err := io.WriteString(c, complete)
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Empty(t, s.refused)
}

// Without a guard, nothing is charged.
func TestNoGuard(t *testing.T) {
	c := FromContext(context.Background())
	require.True(t, c.Fits(1<<40))
	require.NoError(t, c.Hold(1<<30))
	require.NoError(t, c.Complete())
	require.Nil(t, c.Refused())
	c.Discard()
}

// Which of the incomplete requests goes first: stalled large ones, then the largest. A small one frees little, however long it has stalled.
func TestStalledRequestsAreRefusedFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(Options{
		Bytes:    1 << 20,
		OnRefuse: func(*RefusedError) {},
		Clock:    clock,
	})
	request := func(bytes int64) *Conn {
		c := &Conn{TCPConn: &net.TCPConn{}}
		c.progress.Store(clock.Now().UnixNano())
		g.mu.Lock()
		g.add(c)
		g.mu.Unlock()
		require.NoError(t, g.charge(c, bytes))
		return c
	}
	small, stalled := request(10<<10), request(300<<10)
	clock.Advance(stallTime + time.Second)
	growing := request(400 << 10)
	other := request(310 << 10)
	require.NoError(t, g.charge(other, 390<<10))
	require.NotNil(t, stalled.Refused())
	require.Nil(t, growing.Refused())
	require.NoError(t, g.charge(other, 399<<10))
	require.Error(t, g.charge(other, 700<<10))
	require.Nil(t, small.Refused())
	require.Nil(t, growing.Refused())
}

// BenchmarkRequests measures requests on one connection with and without a guard.
func BenchmarkRequests(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		name := "Plain"
		if guarded {
			name = "Guarded"
		}
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			address := listener.Addr().String()
			h := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				c := FromContext(r.Context())
				_ = c.Hold(4)
				_ = c.Complete()
			})}
			if guarded {
				g := New(Options{
					Bytes:       1 << 20,
					Connections: 10,
					HeadBytes:   func() int { return 16 << 10 },
					HeadTime:    func() time.Duration { return waitTimeout },
					OnRefuse:    func(*RefusedError) {},
					Clock:       clockwork.NewRealClock(),
				})
				listener = g.Listen(listener)
				h.ConnState = g.Track
				h.ConnContext = Context
			}
			go func() { _ = h.Serve(listener) }()
			defer func() { _ = h.Close() }()
			c, err := net.Dial("tcp", address)
			require.NoError(b, err)
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			for b.Loop() {
				_, _ = io.WriteString(c, complete)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(b, err)
				_ = response.Body.Close()
			}
		})
	}
}
