package outbound_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/outbound"
)

// A response to HEAD has no body whose end would have to be confirmed.
func TestResponseToHeadIsCompleteAndKeepsItsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
				}
			}()
		}
	}()
	p := outbound.NewPool(clockwork.NewRealClock())
	for range 3 {
		response, err := p.Send(t.Context(), outbound.Target{Address: listener.Addr().String()}, outbound.Request{
			Method: http.MethodHead,
			URI:    "/",
			Host:   "h.example",
		})
		require.NoError(t, err)
		_, err = io.ReadAll(response)
		require.NoError(t, err)
		require.False(t, response.CloseDelimited())
	}
	require.EqualValues(t, 1, p.Opened())
}
