package outbound_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/outbound"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// answerEarly accepts a connection, reads the beginning of a request and answers without a length while the rest is being written.
func answerEarly(t *testing.T, finish func(c *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(accepted, make([]byte, 4<<10))
				_, _ = io.WriteString(accepted, "HTTP/1.1 200 OK\r\n\r\npart of the body")
				finish(accepted.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// sendUpload sends a long request and returns the body of its response, which is read after a delay.
func sendUpload(t *testing.T, address string, delay time.Duration) (string, error) {
	t.Helper()
	response, err := outbound.NewPool(clockwork.NewRealClock()).Send(t.Context(), outbound.Target{Address: address}, outbound.Request{
		Method: "POST",
		URI:    "/",
		Host:   "h.example",
		Body:   make([]byte, uploadBytes),
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	time.Sleep(delay)
	body, err := io.ReadAll(response)
	return string(body), err
}

// A reset may be reported to the write of the request, after which reads find the end of the connection: the response must not be
// taken for complete.
func TestUnframedResponseResetDuringUploadIsNotComplete(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for _, delay := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprint(pause, " ", delay), func(t *testing.T) {
				address := answerEarly(t, func(c *net.TCPConn) {
					time.Sleep(pause)
					_ = c.SetLinger(0)
					_ = c.Close()
				})
				for range 20 {
					_, err := sendUpload(t, address, delay)
					require.Error(t, err)
				}
			})
		}
	}
}

// An endpoint may answer in full before it has read the request, and then end its side, or close the connection.
func TestUnframedResponseBeforeEndOfUploadIsComplete(t *testing.T) {
	for name, finish := range map[string]func(c *net.TCPConn){
		"ends its side and reads on": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		},
		"ends its side and closes later": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			_ = c.Close()
		},
	} {
		for _, delay := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", delay), func(t *testing.T) {
				address := answerEarly(t, finish)
				for range 5 {
					body, err := sendUpload(t, address, delay)
					require.NoError(t, err)
					require.Equal(t, "part of the body", body)
				}
			})
		}
	}
}
