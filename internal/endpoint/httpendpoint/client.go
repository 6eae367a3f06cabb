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
	dialTimeout       = time.Second
	idleConnsPerHost  = 256
	idleConnTimeout   = 60 * time.Second
	maxErrorBodyBytes = 4 << 10
)

// Client implements endpoint.Engine and endpoint.Service.
type Client struct {
	pooled *http.Client
	// singleUse opens a new connection for each request, so that the transport never retries it. When a reused connection
	// breaks, net/http retries even a POST if it has an Idempotency-Key header.
	singleUse *http.Client
}

// New returns a client with its own connection pool.
func New() *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &Client{
		pooled: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: idleConnsPerHost,
				IdleConnTimeout:     idleConnTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: returnRedirect,
		},
		singleUse: &http.Client{
			Transport: &http.Transport{
				DialContext:        dialer.DialContext,
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
			CheckRedirect: returnRedirect,
		},
	}
}

// returnRedirect returns redirects to the caller, because following one would send the call twice.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Report implements endpoint.Engine.
func (c *Client) Report(ctx context.Context, address string) (endpoint.Report, error) {
	var report endpoint.Report
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", nil)
	if err != nil {
		return report, &endpoint.NotSentError{Address: address, Cause: err}
	}
	err = c.doJSON(c.pooled, address, request, &report)
	return report, err
}

// Order implements endpoint.Engine.
func (c *Client) Order(ctx context.Context, address string, order endpoint.Order) (endpoint.OrderResponse, error) {
	var response endpoint.OrderResponse
	body, err := json.Marshal(order)
	if err != nil {
		return response, &endpoint.NotSentError{Address: address, Cause: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return response, &endpoint.NotSentError{Address: address, Cause: err}
	}
	err = c.doJSON(c.singleUse, address, request, &response)
	return response, err
}

// Generate implements endpoint.Engine.
func (c *Client) Generate(ctx context.Context, address string, g endpoint.GenerateRequest) (endpoint.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(g.Body))
	if err != nil {
		return nil, &endpoint.NotSentError{Address: address, Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(RequestIDHeader, g.RequestID)
	request.Header.Set(PriorityHeader, strconv.Itoa(g.Priority))
	request.Header.Set(ResumeFromHeader, strconv.Itoa(g.ResumeFrom))
	response, err := c.pooled.Do(request)
	if err != nil {
		return nil, transportError(address, err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, statusError(address, response)
	}
	if got := response.Header.Get(RequestIDHeader); got != g.RequestID {
		response.Body.Close()
		return nil, &endpoint.RequestIDMismatchError{Want: g.RequestID, Got: got}
	}
	return newResponse(g, response.Body), nil
}

// Forward implements endpoint.Service.
func (c *Client) Forward(ctx context.Context, address string, request *http.Request, once bool) (*http.Response, error) {
	outgoing := request.Clone(ctx)
	outgoing.RequestURI = ""
	outgoing.URL.Scheme = "http"
	outgoing.URL.Host = address
	outgoing.Host = address
	client := c.pooled
	if once {
		client = c.singleUse
		outgoing.GetBody = nil
	}
	response, err := client.Do(outgoing)
	if err != nil {
		return nil, transportError(address, err)
	}
	if err := endpoint.CheckStatus(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, &endpoint.NoResponseError{
			Address: address,
			Cause:   err,
		}
	}
	return response, nil
}

func (c *Client) doJSON(client *http.Client, address string, request *http.Request, result any) error {
	response, err := client.Do(request)
	if err != nil {
		return transportError(address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(address, response)
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return &endpoint.NoResponseError{Address: address, Cause: err}
	}
	return nil
}

func statusError(address string, response *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	return &endpoint.StatusError{Address: address, Status: response.StatusCode, Body: body}
}

// transportError distinguishes a call that was never sent from one that may have reached the endpoint.
func transportError(address string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &endpoint.NotSentError{Address: address, Cause: err}
	}
	return &endpoint.NoResponseError{Address: address, Cause: err}
}
