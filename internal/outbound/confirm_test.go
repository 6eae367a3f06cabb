package outbound_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
)

// awaitGone waits until an endpoint accepts no connections.
func (e *unframedEndpoint) awaitGone(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", e.listener.Addr().String())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, 5*time.Second, time.Millisecond)
}

// restart listens at the address of an endpoint that is gone.
func (e *unframedEndpoint) restart(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", e.listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
}

// A slow caller, or a VM that stands still, has the end of a response read only after the endpoint was started again.
func TestUnframedResponseReadAfterRestartIsNotComplete(t *testing.T) {
	p := outbound.NewPool(clockwork.NewRealClock())
	e := newUnframedEndpoint(t, true)
	response := e.send(t, p, "/")
	e.awaitGone(t)
	e.restart(t)
	_, err := io.ReadAll(response)
	require.Error(t, err, "the response looks complete")
}

// A response whose end was not confirmed stays incomplete, also once the endpoint was started again.
func TestUnconfirmedEndIsFinal(t *testing.T) {
	p := outbound.NewPool(clockwork.NewRealClock())
	e := newUnframedEndpoint(t, true)
	response := e.send(t, p, "/")
	_, err := io.ReadAll(response)
	require.Error(t, err)
	e.restart(t)
	_, err = response.Read(make([]byte, 1))
	var unconfirmed *outbound.UnconfirmedEndError
	require.ErrorAs(t, err, &unconfirmed)
}

// The request of a response that broke off must not be taken for one that was not sent, which may be sent again.
func TestUnconfirmedEndIsNotTakenForUnsentRequest(t *testing.T) {
	p := outbound.NewPool(clockwork.NewRealClock())
	_, err := io.ReadAll(newUnframedEndpoint(t, true).send(t, p, "/"))
	require.Error(t, err)
	var notSent *endpoint.NotSentError
	require.NotErrorAs(t, err, &notSent)
}

// The end of a response is when its connection ended, however long the endpoint takes to tell that it still runs.
func TestCheckDoesNotDelayEnd(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := outbound.NewPool(clock)
	e := newUnframedEndpoint(t, false)
	sent := clock.Now()
	response, err := p.Send(t.Context(), outbound.Target{
		Address: e.listener.Addr().String(),
		Check: func(context.Context) error {
			clock.Advance(time.Second)
			return nil
		},
	}, outbound.Request{
		Method: http.MethodPost,
		URI:    "/",
		Host:   "h.example",
	})
	require.NoError(t, err)
	_, err = io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, sent, response.Ended())
	require.Equal(t, time.Second, clock.Since(sent))
}
