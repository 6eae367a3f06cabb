package outbound_test

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
)

// answer responds to each request on a connection with its URI.
func answer(s *fakeEndpoint, c net.Conn, r *bufio.Reader) {
	for {
		request, ok := s.readRequest(r)
		if !ok {
			return
		}
		writeResponse(c, request.Header.Get("Id"), request.RequestURI)
	}
}

func TestOpenedConnectionIsUsedByNextRequest(t *testing.T) {
	s := newFakeEndpoint(t, answer)
	p := newPool()
	require.NoError(t, p.Open(t.Context(), s.listener.Addr().String()))
	require.EqualValues(t, 1, p.Opened())
	body, err := sendAndRead(t, p, s, "1")
	require.NoError(t, err)
	require.Equal(t, "/x?a=%2F", body)
	require.EqualValues(t, 1, p.Opened())
}

// A connection that was opened counts towards the limit, and one that could not be opened does not.
func TestOpenCountsConnections(t *testing.T) {
	s := newFakeEndpoint(t, answer)
	address := s.listener.Addr().String()
	p := newPool()
	ended, end := context.WithCancel(t.Context())
	end()
	var notSent *endpoint.NotSentError
	require.ErrorAs(t, p.Open(ended, address), &notSent)
	target := newTarget(s, "1")
	target.MaxConnections = 1
	response, err := p.Send(t.Context(), target, newRequest("1"))
	require.NoError(t, err)
	defer response.Close()
	require.NoError(t, p.Open(t.Context(), address))
	target.MaxConnections = 2
	second, err := p.Send(t.Context(), target, newRequest("1"))
	require.NoError(t, err)
	defer second.Close()
	_, err = p.Send(t.Context(), target, newRequest("1"))
	var limit *outbound.ConnectionLimitError
	require.ErrorAs(t, err, &limit)
}

func TestOpenFailsIfRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	require.ErrorIs(t, newPool().Open(t.Context(), listener.Addr().String()), syscall.ECONNREFUSED)
}

// A full queue of connections lets new ones hang.
func TestOpenEndsWithContext(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	defer syscall.Close(fd)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := (&net.TCPAddr{
		IP:   net.IPv4(127, 0, 0, 1),
		Port: bound.(*syscall.SockaddrInet4).Port,
	}).String()
	p := newPool()
	require.NoError(t, p.Open(t.Context(), address))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	var timeout net.Error
	require.ErrorAs(t, p.Open(ctx, address), &timeout)
	require.True(t, timeout.Timeout())
	require.Less(t, time.Since(began), 400*time.Millisecond)
}
