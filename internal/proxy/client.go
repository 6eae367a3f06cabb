package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// maxFreshRest is how long a connection may have been idle to count as fresh.
	maxFreshRest = 250 * time.Millisecond
	// maxRefusalBytes limits what is read after a refusal.
	maxRefusalBytes = 4 << 10
)

// Client sends requests through other VMs.
type Client struct {
	vm         string
	pool       *outbound.Pool
	roundTrips dispatch.RoundTrips
	metrics    *Metrics
}

// NewClient returns a client of the VM with a name, which takes its connections from a pool.
func NewClient(vm string, pool *outbound.Pool, roundTrips dispatch.RoundTrips, metrics *Metrics) *Client {
	return &Client{
		vm:         vm,
		pool:       pool,
		roundTrips: roundTrips,
		metrics:    metrics,
	}
}

// Send implements dispatch.Sender.
func (c *Client) Send(ctx context.Context, vm *roster.Runner, request *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
	response, err := c.send(ctx, vm, request, attempt)
	c.metrics.sent(response, err)
	return response, err
}

func (c *Client) send(ctx context.Context, vm *roster.Runner, request *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
	head, err := encodeHead(c.newRequestHead(request, attempt, vm))
	if err != nil {
		return nil, &endpoint.NotSentError{
			Address: vm.Address,
			Cause:   err,
		}
	}
	maxRest := time.Duration(0)
	if attempt.Fresh {
		maxRest = maxFreshRest
	}
	response, err := c.pool.Send(ctx, outbound.Target{
		Address:        vm.Address,
		MaxRest:        maxRest,
		MaxConnections: attempt.MaxConnections,
	}, outbound.Request{
		Method:     http.MethodPost,
		URI:        Path,
		Host:       vm.Address,
		Header:     http.Header{"Content-Type": {contentType}},
		BodyPrefix: head,
		Body:       request.Body,
	})
	if err != nil {
		return nil, err
	}
	decoded, err := decodeResponse(response, vm, attempt.OnHeadRead)
	if err != nil {
		response.Close()
		return nil, &endpoint.NoResponseError{
			Address: vm.Address,
			Cause:   err,
		}
	}
	return decoded, nil
}

// decodeResponse decodes a VM's response up to its body. It fails with endpoint.StatusError or endpoint.InvalidStatusError, and if the head
// is not complete.
func decodeResponse(response *outbound.Response, vm *roster.Runner, onHeadRead func(bytes int) error) (*dispatch.Response, error) {
	if response.Header.Get("Content-Type") != contentType {
		if response.Status == http.StatusNotFound {
			return refusedResponse(response, refusal.New(http.StatusServiceUnavailable, refusal.OutOfReach,
				"VM "+vm.ID+" takes no requests of other VMs")), nil
		}
		return nil, &endpoint.StatusError{
			Address: vm.Address,
			Status:  response.Status,
		}
	}
	var head responseHead
	n, err := readHead(response, &head, onHeadRead)
	if err != nil {
		return nil, err
	}
	if head.Refusal != nil {
		return refusedResponse(response, head.Refusal), endpoint.CheckStatus(head.Refusal.Status)
	}
	length := response.Length
	if length >= 0 {
		length -= int64(n)
	}
	header := head.Header
	if header == nil {
		header = make(http.Header)
	}
	return &dispatch.Response{
		Status:      head.Status,
		Header:      header,
		Length:      length,
		EndUnmarked: response.CloseDelimited(),
		Proxy: &dispatch.ProxyResult{
			Runner:  head.Runner,
			Release: head.Release,
		},
		Body:  response,
		Close: response.Close,
	}, endpoint.CheckStatus(head.Status)
}

// refusedResponse returns the response of a VM that refused the request.
func refusedResponse(response *outbound.Response, refused *refusal.Refusal) *dispatch.Response {
	// Reading to the end lets the connection be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxRefusalBytes))
	response.Close()
	return &dispatch.Response{
		Status:  refused.Status,
		Header:  make(http.Header),
		NotRun:  refused.Ran == refusal.NotRun,
		Leaving: refused.Code == refusal.Stopping,
		Refused: refused,
		Body:    http.NoBody,
		Close:   response.Close,
	}
}

// isNotSent reports whether an error shows that nothing was sent.
func isNotSent(err error) bool {
	var notSent *endpoint.NotSentError
	var limit *outbound.ConnectionLimitError
	return errors.As(err, &notSent) || errors.As(err, &limit)
}
