package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
)

// Client calls the operators' API at the control address of an entry VM.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for a control address, such as "10.0.0.1:8081".
func New(address string, client *http.Client) *Client {
	return &Client{
		address: address,
		http:    client,
	}
}

// StatusError reports a response whose HTTP status is not 200.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("entry VM returned HTTP status %d", e.Status)
}

// RequestError reports a request to which the VM gave no readable response.
type RequestError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request to entry VM %s failed: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

// InForce returns the configuration in force on the VM.
func (c *Client) InForce(ctx context.Context) (InForce, error) {
	var inForce InForce
	err := c.do(ctx, http.MethodGet, "/operator/configuration", nil, &inForce)
	return inForce, err
}

// Publish sends a change; after a RequestError its outcome is unknown, and Outcome can query it.
func (c *Client) Publish(ctx context.Context, change Change) (Outcome, error) {
	var outcome Outcome
	err := c.do(ctx, http.MethodPost, "/operator/changes", change, &outcome)
	return outcome, err
}

// Outcome queries the outcome of a change by its ID.
func (c *Client) Outcome(ctx context.Context, id string) (Outcome, error) {
	var outcome Outcome
	err := c.do(ctx, http.MethodGet, "/operator/changes/"+url.PathEscape(id), nil, &outcome)
	return outcome, err
}

// Explain returns the last decisions and moves about a model, caller, endpoint or request, or about all if about is empty.
func (c *Client) Explain(ctx context.Context, about string) (Explanation, error) {
	var explanation Explanation
	err := c.do(ctx, http.MethodGet, "/operator/explain?About="+url.QueryEscape(about), nil, &explanation)
	return explanation, err
}

// Burn returns the error budget burn rates of the VM's failure domain.
func (c *Client) Burn(ctx context.Context) (Burn, error) {
	var burn Burn
	err := c.do(ctx, http.MethodGet, "/operator/burn", nil, &burn)
	return burn, err
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return &RequestError{Address: c.address, Cause: err}
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, &body)
	if err != nil {
		return &RequestError{Address: c.address, Cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &RequestError{Address: c.address, Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode}
	}
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return &RequestError{Address: c.address, Cause: err}
	}
	return nil
}
