package proxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// A response must arrive as the runner sent it, also headers like those of this connection, with the runner that sent it.
func TestResponseIsRelayed(t *testing.T) {
	header := http.Header{
		"Content-Type":     {"application/vnd.cowsliparch.proxy"},
		"Content-Encoding": {"gzip"},
		"Refusal":          {"no"},
		"Connection":       {"close"},
		"X-Latin":          {"caf\xe9", "b"},
		"x-lower":          {"c"},
	}
	var received *dispatch.Request
	h := newHarness(t, func(ctx context.Context, r *dispatch.Request, caller dispatch.Caller) {
		received = r
		observer, ok := caller.(dispatch.RunnerObserver)
		require.True(t, ok)
		observer.ObserveRunner(&roster.Runner{
			ID:      "i-1",
			Release: "v1",
		})
		respond(http.StatusTeapot, header, "tea")(ctx, r, caller)
	})
	for range 3 {
		response, err := h.send(t.Context(), newRequest("hello"))
		require.NoError(t, err)
		require.Equal(t, http.StatusTeapot, response.Status)
		require.Equal(t, header, response.Header)
		require.EqualValues(t, 3, response.Length)
		require.Equal(t, &dispatch.ProxyResult{
			Runner:  "i-1",
			Release: "v1",
		}, response.Proxy)
		require.Nil(t, response.Refused)
		require.False(t, response.NotRun)
		require.Equal(t, "tea", readAll(t, response))
		response.Close()
	}
	require.Equal(t, "hello", string(received.Body))
	require.Equal(t, "p", received.Proxied.VM)
	require.Positive(t, received.MaxWait)
	require.EqualValues(t, 1, h.pool.Opened(), "the connection is used again")
	require.Equal(t, 3, h.outcomes(t, "Out", "Answered"))
	require.Equal(t, 3, h.outcomes(t, "In", "Answered"))
}

// Each part of a stream must arrive before the next is written.
func TestStreamIsRelayedAsItArrives(t *testing.T) {
	more := make(chan struct{})
	h := newHarness(t, func(_ context.Context, _ *dispatch.Request, caller dispatch.Caller) {
		_ = caller.WriteHeader(http.StatusOK, http.Header{}, -1)
		for range 3 {
			_ = caller.Write([]byte("data: 1\n\n"))
			<-more
		}
	})
	response, err := h.send(t.Context(), newRequest(""))
	require.NoError(t, err)
	require.EqualValues(t, -1, response.Length)
	require.False(t, response.EndUnmarked)
	piece := make([]byte, len("data: 1\n\n"))
	for range 3 {
		_, err := io.ReadFull(response.Body, piece)
		require.NoError(t, err)
		more <- struct{}{}
	}
	require.Empty(t, readAll(t, response))
}

func TestRefusalIsRelayed(t *testing.T) {
	for _, refused := range []*refusal.Refusal{
		refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "none").WithRetryAfter(1500 * time.Millisecond),
		refusal.New(http.StatusBadGateway, refusal.OutcomeUnknown, "lost").WithRan(refusal.Unknown),
		refusal.New(http.StatusBadGateway, refusal.AnswerBroken, "cut").WithRan(refusal.Executed),
	} {
		h := newHarness(t, func(_ context.Context, _ *dispatch.Request, caller dispatch.Caller) { caller.Refuse(refused) })
		for range 2 {
			response, err := h.send(t.Context(), newRequest("x"))
			require.NoError(t, err)
			require.Equal(t, refused, response.Refused)
			require.Equal(t, refused.Status, response.Status)
			require.Equal(t, refused.Ran == refusal.NotRun, response.NotRun)
			require.Nil(t, response.Proxy)
			require.Empty(t, readAll(t, response))
			response.Close()
		}
		require.EqualValues(t, 1, h.pool.Opened())
		require.Equal(t, 2, h.outcomes(t, "In", "Refused"))
		require.Equal(t, 2, h.outcomes(t, "Out", "Refused"))
	}
}

// A runner's response can't look like a refusal, whatever it holds.
func TestRunnerCannotFakeRefusal(t *testing.T) {
	header := http.Header{"Refusal": {`{"Code":"Stopping"}`}, "Content-Type": {"application/vnd.cowsliparch.proxy"}}
	h := newHarness(t, respond(http.StatusServiceUnavailable, header, "\x00\x00\x00\x01\xa0"))
	response, err := h.send(t.Context(), newRequest("x"))
	require.NoError(t, err)
	require.Nil(t, response.Refused)
	require.False(t, response.NotRun)
	require.Equal(t, "\x00\x00\x00\x01\xa0", readAll(t, response))
}

// A response that is broken off must not look complete, with or without a stated length.
func TestAbortIsSeen(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		h := newHarness(t, func(_ context.Context, _ *dispatch.Request, caller dispatch.Caller) {
			_ = caller.WriteHeader(http.StatusOK, http.Header{}, length)
			_ = caller.Write([]byte("data: 1\n\n"))
			caller.Abort()
		})
		response, err := h.send(t.Context(), newRequest("x"))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			response.Close()
		}
		require.Error(t, err)
		require.Equal(t, 1, h.outcomes(t, "In", "Lost"))
	}
}

// A short body with a stated length breaks off even if the dispatcher doesn't say so.
func TestShortResponseIsSeen(t *testing.T) {
	h := newHarness(t, func(_ context.Context, _ *dispatch.Request, caller dispatch.Caller) {
		_ = caller.WriteHeader(http.StatusOK, http.Header{}, 100)
		_ = caller.Write([]byte("short"))
	})
	response, err := h.send(t.Context(), newRequest("x"))
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A lost response may be that of a request that ran.
func TestLostResponseIsUnknown(t *testing.T) {
	h := newHarness(t, func(_ context.Context, _ *dispatch.Request, caller dispatch.Caller) { caller.Abort() })
	response, err := h.send(t.Context(), newRequest("x"))
	var noResponse *endpoint.NoResponseError
	require.ErrorAs(t, err, &noResponse)
	require.Nil(t, response)
	require.EqualValues(t, 1, h.served.Load())
	require.Equal(t, 1, h.outcomes(t, "Out", "Lost"))
}

// Responses that are not of the protocol show nothing about the request, whatever their status.
func TestForeignResponseIsUnknown(t *testing.T) {
	for name, respond := range map[string]http.HandlerFunc{
		"other status": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"no head": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/vnd.cowsliparch.proxy")
		},
		"bad head": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/vnd.cowsliparch.proxy")
			_, _ = w.Write([]byte("\x00\x00\x00\x01\xff"))
		},
		"no status": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/vnd.cowsliparch.proxy")
			_, _ = w.Write([]byte("\x00\x00\x00\x01\xa0"))
		},
		"broken off": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHandlerHarness(t, respond)
			response, err := h.send(t.Context(), newRequest("x"))
			var noResponse *endpoint.NoResponseError
			require.ErrorAs(t, err, &noResponse)
			require.Nil(t, response)
		})
	}
}

// A VM of an older release can't have run the request.
func TestOldVMHasNotRun(t *testing.T) {
	h := newHandlerHarness(t, http.NotFoundHandler())
	response, err := h.send(t.Context(), newRequest("x"))
	require.NoError(t, err)
	require.True(t, response.NotRun)
	require.Equal(t, refusal.NotRun, response.Refused.Ran)
	require.Equal(t, http.StatusServiceUnavailable, response.Refused.Status)
}

func TestUnreachableVMWasNotSentTo(t *testing.T) {
	h := newHandlerHarness(t, http.NotFoundHandler())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.vm.Address = listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = h.send(t.Context(), newRequest("x"))
	var notSent *endpoint.NotSentError
	require.ErrorAs(t, err, &notSent)
	require.Equal(t, 1, h.outcomes(t, "Out", "NotSent"))
}

// When the caller leaves, the VM that serves the request must stop, whether or not the response has begun.
func TestCancelReachesVM(t *testing.T) {
	for _, begun := range []bool{false, true} {
		canceled := make(chan struct{})
		started := make(chan struct{})
		h := newHarness(t, func(ctx context.Context, _ *dispatch.Request, caller dispatch.Caller) {
			if begun {
				_ = caller.WriteHeader(http.StatusOK, http.Header{}, -1)
				_ = caller.Write([]byte("data: 1\n\n"))
			}
			close(started)
			<-ctx.Done()
			close(canceled)
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if response, err := h.send(ctx, newRequest(strings.Repeat("x", 300<<10))); err == nil {
				_, _ = io.ReadAll(response.Body)
			}
		}()
		<-started
		cancel()
		<-done
		<-canceled
	}
}

// Closing a response that has not ended must stop the VM that serves it.
func TestCloseReachesVM(t *testing.T) {
	canceled := make(chan struct{})
	h := newHarness(t, func(ctx context.Context, _ *dispatch.Request, caller dispatch.Caller) {
		_ = caller.WriteHeader(http.StatusOK, http.Header{}, -1)
		_ = caller.Write([]byte("data: 1\n\n"))
		<-ctx.Done()
		close(canceled)
	})
	response, err := h.send(t.Context(), newRequest("x"))
	require.NoError(t, err)
	response.Close()
	<-canceled
}

// The budget of held responses must be able to give up a head, before it is read.
func TestHeadIsCharged(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, http.Header{"X-Long": {strings.Repeat("x", 10<<10)}}, ""))
	errEvicted := errors.New("evicted")
	_, err := h.client.Send(t.Context(), h.vm, newRequest("x"), dispatch.Attempt{
		Remaining: time.Second,
		Proxied:   &dispatch.Proxied{VM: "p"},
		OnHeadRead: func(bytes int) error {
			require.Greater(t, bytes, 10<<10)
			return errEvicted
		},
	})
	require.ErrorIs(t, err, errEvicted)
}

// A write that blocks must end when it is interrupted.
func TestInterruptEndsWrite(t *testing.T) {
	failed := make(chan error, 1)
	h := newHarness(t, func(_ context.Context, _ *dispatch.Request, caller dispatch.Caller) {
		_ = caller.WriteHeader(http.StatusOK, http.Header{}, -1)
		var once sync.Once
		for {
			once.Do(func() { time.AfterFunc(200*time.Millisecond, caller.Interrupt) })
			if err := caller.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	})
	response, err := h.send(t.Context(), newRequest("x"))
	require.NoError(t, err)
	defer response.Close()
	require.Error(t, <-failed)
}
