package outbound_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// A status that HTTP does not define must not be taken for a response: net/http panics where a server writes it.
func TestImpossibleStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "+20", "+99", "-20", "101", "600", "999", "1e2", "20", "2000"} {
		t.Run(status, func(t *testing.T) {
			s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
				request, _ := s.readRequest(r)
				fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", status, request.Header.Get("Id"))
			})
			p := newPool()
			_, err := p.Send(t.Context(), newTarget(s, "1"), newRequest("1"))
			var noResponse *endpoint.NoResponseError
			require.ErrorAs(t, err, &noResponse, "the request may have run")
		})
	}
}
