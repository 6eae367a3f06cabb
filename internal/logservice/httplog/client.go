package httplog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// Client implements logservice.Log over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client for the log service at baseURL, such as "http://10.0.0.9:7000".
func New(baseURL string, client *http.Client) *Client {
	return &Client{
		baseURL:    baseURL,
		httpClient: client,
	}
}

// Append implements logservice.Log.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (logservice.Offset, error) {
	body, err := json.Marshal(struct{ Payload []byte }{Payload: payload})
	if err != nil {
		return 0, &logservice.UnavailableError{Stream: stream, Cause: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(body))
	if err != nil {
		return 0, &logservice.UnavailableError{Stream: stream, Cause: err}
	}
	// Without GetBody, the transport can't retry the request after a broken connection.
	request.GetBody = nil
	response, err := c.httpClient.Do(request)
	if err != nil {
		return 0, appendError(stream, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable {
		return 0, &logservice.UnavailableError{Stream: stream, Cause: &logservice.StatusError{Status: response.StatusCode}}
	}
	if response.StatusCode != http.StatusCreated {
		return 0, &logservice.ResponseLostError{Stream: stream, Cause: &logservice.StatusError{Status: response.StatusCode}}
	}
	var appended struct{ Offset logservice.Offset }
	if err := json.NewDecoder(response.Body).Decode(&appended); err != nil {
		return 0, &logservice.ResponseLostError{Stream: stream, Cause: err}
	}
	return appended.Offset, nil
}

// Read implements logservice.Log.
func (c *Client) Read(ctx context.Context, stream string, from logservice.Offset, limit int, wait time.Duration) (logservice.Page, error) {
	query := url.Values{}
	query.Set("From", strconv.FormatUint(uint64(from), 10))
	query.Set("Limit", strconv.Itoa(limit))
	query.Set("Wait", wait.String())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return logservice.Page{}, &logservice.UnavailableError{Stream: stream, Cause: err}
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return logservice.Page{}, &logservice.UnavailableError{Stream: stream, Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return logservice.Page{}, &logservice.UnavailableError{Stream: stream, Cause: &logservice.StatusError{Status: response.StatusCode}}
	}
	var page logservice.Page
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return logservice.Page{}, &logservice.UnavailableError{Stream: stream, Cause: err}
	}
	return page, nil
}

func (c *Client) recordsURL(stream string) string {
	return fmt.Sprintf("%s/streams/%s/records", c.baseURL, url.PathEscape(stream))
}

// appendError distinguishes a request that was never sent from one whose response was lost.
func appendError(stream string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &logservice.UnavailableError{Stream: stream, Cause: err}
	}
	return &logservice.ResponseLostError{Stream: stream, Cause: err}
}
