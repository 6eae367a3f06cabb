package serving

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/event"
)

const (
	// drainDelay is how long connections are still accepted after readiness is withdrawn: the load balancer probes once a second
	// and removes the VM after the second failed probe.
	drainDelay = 2600 * time.Millisecond
	// admissionDelay is how long requests are still taken; callers send them at once on a connection that was accepted.
	admissionDelay = drainDelay + 300*time.Millisecond
	// stopMargin is how long before the stop timeout the process exits by itself; at the timeout it is killed from outside.
	stopMargin = 350 * time.Millisecond
	// answerTime is the time before that in which requests that can't be completed are answered.
	answerTime = 150 * time.Millisecond
	// releaseTimeout bounds the release of the lease.
	releaseTimeout = time.Second
	// stopPollInterval is the pause between two checks whether all requests have ended.
	stopPollInterval = 10 * time.Millisecond
)

// Stopping reports whether a graceful stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// AdmissionEnded reports whether a graceful stop has come so far that no further request is taken.
func (s *Server) AdmissionEnded() bool { return s.admissionEnded.Load() }

// releaseLease gives up the order lease.
func (s *Server) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.lease.Release(ctx)
}

// drain takes requests a little longer and refuses later ones, until those in flight have ended or the stop timeout is near. It does
// not call Shutdown before, which closes connections whose request was just read.
func (s *Server) drain(server *http.Server, connections *busyConnections, stopStarted time.Time) {
	s.sleepUntil(stopStarted.Add(drainDelay))
	_ = s.callerListener.Close()
	s.sleepUntil(stopStarted.Add(admissionDelay))
	s.admissionEnded.Store(true)
	// This closes idle connections, also those whose next request is just being read, which must not be passed on then.
	server.SetKeepAlivesEnabled(false)
	deadline := stopStarted.Add(s.currentSettings().Limits.StopTimeout - stopMargin)
	if s.awaitIdle(connections, deadline.Add(-answerTime)) {
		event.EntryStopped.Log(s.Logger)
	} else {
		event.StopDeadlinePassed.Log(s.Logger, slog.Int("Calls", connections.count()))
		s.cancelRequests(dispatch.ErrStopping)
		s.awaitIdle(connections, deadline)
	}
	_ = server.Close()
}

// awaitIdle waits until no request is in progress, at most until a time, and reports whether that is so.
func (s *Server) awaitIdle(connections *busyConnections, until time.Time) bool {
	for connections.count() > 0 {
		if !s.Clock.Now().Before(until) {
			return false
		}
		s.Clock.Sleep(stopPollInterval)
	}
	return true
}

func (s *Server) sleepUntil(t time.Time) { s.Clock.Sleep(t.Sub(s.Clock.Now())) }

// busyConnections counts the connections with a request in progress.
type busyConnections struct {
	mu   sync.Mutex
	busy map[net.Conn]struct{}
}

func newBusyConnections() *busyConnections {
	return &busyConnections{
		busy: make(map[net.Conn]struct{}),
	}
}

// track is the ConnState hook of the server.
func (b *busyConnections) track(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state == http.StateActive {
		b.busy[c] = struct{}{}
	} else {
		delete(b.busy, c)
	}
}

func (b *busyConnections) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.busy)
}
