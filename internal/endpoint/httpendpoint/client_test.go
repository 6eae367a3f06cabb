package httpendpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/endpoint/httpendpoint"
)

// connectionDroppingServer responds to the first request on each connection. It executes the second one too, but closes the
// connection without responding.
func connectionDroppingServer(t *testing.T) (address string, executed *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	executed = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOneThenDrop(conn, executed)
		}
	}()
	return listener.Addr().String(), executed
}

func serveOneThenDrop(conn net.Conn, executed *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		executed.Add(1)
		if n > 1 {
			return
		}
		if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

func newKeyedPost(t *testing.T, address string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/deposits", http.NoBody)
	require.NoError(t, err)
	request.Header.Set("Idempotency-Key", "deposit-1")
	return request
}

// The default transport retries a POST with an Idempotency-Key when a reused connection breaks, so that two calls are
// executed three times. Forward must not use it for calls that run at most once.
func TestDefaultClientRetriesKeyedPost(t *testing.T) {
	address, executed := connectionDroppingServer(t)
	client := &http.Client{
		Transport: &http.Transport{},
	}
	for range 2 {
		response, err := client.Do(newKeyedPost(t, address))
		require.NoError(t, err)
		buffer := make([]byte, 2)
		_, _ = response.Body.Read(buffer)
		response.Body.Close()
	}
	require.EqualValues(t, 3, executed.Load(), "two calls were executed three times")
}

func TestForwardOnceDoesNotRetryKeyedPost(t *testing.T) {
	address, executed := connectionDroppingServer(t)
	client := httpendpoint.New()
	for range 20 {
		response, err := client.Forward(t.Context(), address, newKeyedPost(t, address), true)
		require.NoError(t, err)
		response.Body.Close()
	}
	require.EqualValues(t, 20, executed.Load())
}

func TestForwardDistinguishesNotSentFromNoResponse(t *testing.T) {
	client := httpendpoint.New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddress := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = client.Forward(context.Background(), closedAddress, newKeyedPost(t, closedAddress), true)
	var notSent *endpoint.NotSentError
	require.ErrorAs(t, err, &notSent)

	address := noResponseServer(t)
	_, err = client.Forward(context.Background(), address, newKeyedPost(t, address), true)
	var noResponse *endpoint.NoResponseError
	require.ErrorAs(t, err, &noResponse)
}

// noResponseServer reads one request per connection and closes the connection without responding.
func noResponseServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

func TestForwardDoesNotFollowRedirects(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler: http.RedirectHandler("/elsewhere", http.StatusTemporaryRedirect),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	address := listener.Addr().String()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/deposits", strings.NewReader("x"))
	require.NoError(t, err)
	response, err := httpendpoint.New().Forward(t.Context(), address, request, true)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusTemporaryRedirect, response.StatusCode)
}

// A status that HTTP does not define must not be passed on: net/http panics where a server writes it.
func TestForwardRejectsImpossibleStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
				}
			}()
			request, err := http.NewRequest(http.MethodPost, "http://h.example/book", nil)
			require.NoError(t, err)
			_, err = httpendpoint.New().Forward(t.Context(), listener.Addr().String(), request, true)
			var noResponse *endpoint.NoResponseError
			require.ErrorAs(t, err, &noResponse)
		})
	}
}
