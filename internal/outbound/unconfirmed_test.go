package outbound_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/outbound"
)

// unframedEndpoint answers without a length: it keeps a response to /held open until it is released, and ends others at once, after it
// has stopped listening if stops is set.
type unframedEndpoint struct {
	listener net.Listener
	stops    bool
	held     chan struct{}
}

func newUnframedEndpoint(t *testing.T, stops bool) *unframedEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &unframedEndpoint{
		listener: listener,
		stops:    stops,
		held:     make(chan struct{}),
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(accepted)
		}
	}()
	return e
}

func (e *unframedEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if request.URL.Path == "/check" {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n")
	if request.URL.Path == "/held" {
		<-e.held
		return
	}
	if e.stops {
		_ = e.listener.Close()
	}
}

// checkedTarget returns a target whose endpoint answers /check as long as it runs.
func checkedTarget(p *outbound.Pool, address string) outbound.Target {
	return outbound.Target{
		Address: address,
		Check: func(ctx context.Context) error {
			response, err := p.Send(ctx, outbound.Target{Address: address}, outbound.Request{
				Method: http.MethodGet,
				URI:    "/check",
				Host:   "h.example",
			})
			if err != nil {
				return err
			}
			defer response.Close()
			_, err = io.Copy(io.Discard, response)
			return err
		},
	}
}

func (e *unframedEndpoint) send(t *testing.T, p *outbound.Pool, uri string) *outbound.Response {
	t.Helper()
	response, err := p.Send(t.Context(), checkedTarget(p, e.listener.Addr().String()), outbound.Request{
		Method: http.MethodPost,
		URI:    uri,
		Host:   "h.example",
	})
	require.NoError(t, err)
	t.Cleanup(response.Close)
	return response
}

// The kernel ends the connections of a process that is killed in good order: a response without a length that ends so may lack its rest.
func TestUnframedResponseOfEndpointThatIsGoneIsNotComplete(t *testing.T) {
	p := outbound.NewPool(clockwork.NewRealClock())
	e := newUnframedEndpoint(t, true)
	body, err := io.ReadAll(e.send(t, p, "/"))
	var unconfirmed *outbound.UnconfirmedEndError
	require.ErrorAs(t, err, &unconfirmed)
	require.Equal(t, "id: 1\ndata: a\n\n", string(body))
}

func TestUnframedResponseOfEndpointThatRunsIsComplete(t *testing.T) {
	p := outbound.NewPool(clockwork.NewRealClock())
	e := newUnframedEndpoint(t, false)
	for range 3 {
		body, err := io.ReadAll(e.send(t, p, "/"))
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: a\n\n", string(body))
	}
}

// An endpoint that is about to stop accepts no connections and completes its responses.
func TestUnframedResponseOfEndpointThatStopsIsComplete(t *testing.T) {
	p := outbound.NewPool(clockwork.NewRealClock())
	e := newUnframedEndpoint(t, true)
	held := e.send(t, p, "/held")
	_, err := io.ReadAll(e.send(t, p, "/"))
	require.NoError(t, err)
	close(e.held)
	held.Close()
}
