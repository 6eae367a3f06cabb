package httpendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

const (
	dialTimeout      = time.Second
	idleConnsPerHost = 256
	idleTimeout      = 60 * time.Second
	maxErrorBody     = 4 << 10
)

// Client implements endpoint.Engine and endpoint.Service.
type Client struct {
	pooled *http.Client
	// once uses each connection for one request, which the transport then never repeats: on a reused
	// connection that breaks, net/http would send a POST with an Idempotency-Key again.
	once *http.Client
}

// New returns a client with connection pools of its own.
func New() *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &Client{
		pooled: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: idleConnsPerHost,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: keepRedirect,
		},
		once: &http.Client{
			Transport: &http.Transport{
				DialContext:        dialer.DialContext,
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
			CheckRedirect: keepRedirect,
		},
	}
}

// keepRedirect hands redirects to the caller: following one would send the call twice.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Report implements endpoint.Engine.
func (c *Client) Report(ctx context.Context, address string) (endpoint.Report, error) {
	var report endpoint.Report
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", nil)
	if err != nil {
		return report, &endpoint.UnsentError{Address: address, Cause: err}
	}
	err = c.decode(c.pooled, address, request, &report)
	return report, err
}

// Order implements endpoint.Engine.
func (c *Client) Order(ctx context.Context, address string, order endpoint.Order) (endpoint.OrderAnswer, error) {
	var answer endpoint.OrderAnswer
	body, err := json.Marshal(order)
	if err != nil {
		return answer, &endpoint.UnsentError{Address: address, Cause: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return answer, &endpoint.UnsentError{Address: address, Cause: err}
	}
	err = c.decode(c.once, address, request, &answer)
	return answer, err
}

// Generate implements endpoint.Engine.
func (c *Client) Generate(ctx context.Context, address string, g endpoint.Generation) (endpoint.Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(g.Body))
	if err != nil {
		return nil, &endpoint.UnsentError{Address: address, Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(RequestIDHeader, g.RequestID)
	request.Header.Set(PriorityHeader, strconv.Itoa(g.Priority))
	request.Header.Set(ResumeFromHeader, strconv.Itoa(g.ResumeFrom))
	response, err := c.pooled.Do(request)
	if err != nil {
		return nil, failure(address, err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, statusFailure(address, response)
	}
	if got := response.Header.Get(RequestIDHeader); got != g.RequestID {
		response.Body.Close()
		return nil, &endpoint.ForeignError{Want: g.RequestID, Got: got}
	}
	return newAnswer(g, response.Body), nil
}

// Forward implements endpoint.Service.
func (c *Client) Forward(ctx context.Context, address string, request *http.Request, once bool) (*http.Response, error) {
	out := request.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = address
	out.Host = address
	client := c.pooled
	if once {
		client = c.once
		out.GetBody = nil
	}
	response, err := client.Do(out)
	if err != nil {
		return nil, failure(address, err)
	}
	return response, nil
}

func (c *Client) decode(client *http.Client, address string, request *http.Request, into any) error {
	response, err := client.Do(request)
	if err != nil {
		return failure(address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusFailure(address, response)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return &endpoint.UnansweredError{Address: address, Cause: err}
	}
	return nil
}

func statusFailure(address string, response *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	return &endpoint.StatusError{Address: address, Status: response.StatusCode, Body: body}
}

// failure tells a call that never left this VM from one that may have arrived.
func failure(address string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &endpoint.UnsentError{Address: address, Cause: err}
	}
	return &endpoint.UnansweredError{Address: address, Cause: err}
}
