package outbound_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/outbound"
)

// endpointEnv makes the test binary an endpoint that never ends its responses.
const endpointEnv = "OUTBOUND_TEST_ENDPOINT"

func TestMain(m *testing.M) {
	if os.Getenv(endpointEnv) != "" {
		serveUntilKilled()
		return
	}
	os.Exit(m.Run())
}

func serveUntilKilled() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	_, _ = io.WriteString(os.Stdout, listener.Addr().String()+"\n")
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			request, err := http.ReadRequest(bufio.NewReader(c))
			switch {
			case err != nil:
			case request.URL.Path == "/check":
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			default:
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n")
			}
			select {}
		}()
	}
}

// startProcess starts an endpoint in a process of its own.
func startProcess(t *testing.T) (address string, process *exec.Cmd) {
	t.Helper()
	process = exec.Command(os.Args[0])
	process.Env = append(os.Environ(), endpointEnv+"=1")
	stdout, err := process.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, process.Start())
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	require.NoError(t, err)
	return strings.TrimSpace(line), process
}

// The kernel may end the connections of a killed process before it closes the listener, which then still accepts.
func TestUnframedResponsesOfKilledProcessAreNotComplete(t *testing.T) {
	const streams = 100
	address, process := startProcess(t)
	p := outbound.NewPool(clockwork.NewRealClock())
	ends := make(chan error, streams)
	for range streams {
		response, err := p.Send(t.Context(), checkedTarget(p, address), outbound.Request{
			Method: http.MethodPost,
			URI:    "/",
			Host:   "h.example",
		})
		require.NoError(t, err)
		t.Cleanup(response.Close)
		go func() {
			_, err := io.ReadAll(response)
			ends <- err
		}()
	}
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, process.Process.Kill())
	complete := 0
	for range streams {
		if <-ends == nil {
			complete++
		}
	}
	require.Zero(t, complete, "streams that look complete")
}
