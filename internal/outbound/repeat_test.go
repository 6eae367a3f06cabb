package outbound_test

import (
	"bufio"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// echoIDs answers each request with its ID.
func echoIDs(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
	for {
		request, ok := s.readRequest(r)
		if !ok {
			return
		}
		writeResponse(c, request.Header.Get("Id"), request.Header.Get("Id"))
	}
}

// A request that comes again is not sent on a connection on which its ID was answered; at the limit of connections, a new one
// replaces an idle one.
func TestSameIDIsSentOnAnotherConnection(t *testing.T) {
	s := newFakeEndpoint(t, echoIDs)
	p := newPool()
	for i, id := range []string{"1", "2", "1", "2", "3"} {
		to := newTarget(s, id)
		to.MaxConnections = 1
		response, err := p.Send(t.Context(), to, newRequest(id))
		require.NoError(t, err)
		body := make([]byte, 8)
		n, _ := response.Read(body)
		require.Equal(t, id, string(body[:n]))
		_, err = response.Read(body)
		require.Error(t, err)
		response.Close()
		require.EqualValues(t, min(i/2+1, 2), p.Opened(), id)
	}
}

// A connection on which responses to other requests were read is not used again.
func TestConnectionWithForeignResponseIsNotReused(t *testing.T) {
	s := newFakeEndpoint(t, func(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
		for {
			request, ok := s.readRequest(r)
			if !ok {
				return
			}
			writeResponse(c, "other", "foreign")
			writeResponse(c, request.Header.Get("Id"), "mine")
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2"} {
		body, err := sendAndRead(t, p, s, id)
		require.NoError(t, err)
		require.Equal(t, "mine", body)
	}
	require.EqualValues(t, 2, p.Opened())
}
