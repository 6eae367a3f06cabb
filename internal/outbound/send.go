package outbound

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

const (
	// maxForeign is how many answers to earlier requests are skipped on a connection before it is given up.
	maxForeign = 3
	// asyncBody is the size of body above which the answer is read while the body is still being written.
	asyncBody = 16 << 10
)

// Target is where one send goes.
type Target struct {
	Address string
	// MaxConnections bounds this VM's connections to the address; 0 means no bound.
	MaxConnections int
	// Mine reports whether an answer's header belongs to this request; nil takes any answer.
	Mine func(http.Header) bool
}

// Send sends a message once and returns the head of its answer. It fails with endpoint.UnsentError or CapError when no
// byte was written, and with endpoint.UnansweredError when the message may have run. The context ends the connection.
func (p *Pool) Send(ctx context.Context, to Target, m Message) (*Reply, error) {
	c, err := p.get(ctx, to.Address, to.MaxConnections)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	written, err := write(c, m)
	if err != nil && !hasAnswer(c) {
		stop()
		c.close()
		if written == 0 {
			return nil, &endpoint.UnsentError{
				Address: to.Address,
				Cause:   err,
			}
		}
		return nil, unanswered(to, err)
	}
	response, err := p.readHead(c, to, m)
	if err != nil {
		stop()
		c.close()
		return nil, unanswered(to, err)
	}
	return newReply(p, to.Address, c, response, stop), nil
}

func unanswered(to Target, err error) error {
	return &endpoint.UnansweredError{
		Address: to.Address,
		Cause:   err,
	}
}

// hasAnswer reports whether an answer arrived before the write failed.
func hasAnswer(c *conn) bool {
	_, err := c.reader.Peek(1)
	return err == nil
}

func write(c *conn, m Message) (int, error) {
	encoded := m.encode()
	if len(encoded) <= asyncBody {
		return c.socket.Write(encoded)
	}
	n, err := c.socket.Write(encoded[:asyncBody])
	if err != nil {
		return n, err
	}
	c.writing.Add(1)
	go func() {
		defer c.writing.Add(-1)
		if _, err := c.socket.Write(encoded[asyncBody:]); err != nil {
			c.broken.Store(true)
		}
	}()
	return n, nil
}

// readHead reads answers until one belongs to the request.
func (p *Pool) readHead(c *conn, to Target, m Message) (*http.Response, error) {
	for range maxForeign {
		response, err := http.ReadResponse(c.reader, m.request())
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if to.Mine == nil || to.Mine(response.Header) {
			return response, nil
		}
		if err := discard(response); err != nil {
			return nil, err
		}
	}
	return nil, &endpoint.ForeignError{}
}

// keepOf returns how long the endpoint keeps an idle connection.
func keepOf(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if ok && err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(seconds)*time.Second-keepMargin, 0)
		}
	}
	return defaultKeep
}
