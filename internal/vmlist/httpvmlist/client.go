package httpvmlist

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

// Client implements vmlist.List over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client for the VM list at baseURL, such as "http://10.0.0.9:7001".
func New(baseURL string, client *http.Client) *Client {
	return &Client{
		baseURL:    baseURL,
		httpClient: client,
	}
}

// VMs implements vmlist.List.
func (c *Client) VMs(ctx context.Context) ([]vmlist.VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/vms", nil)
	if err != nil {
		return nil, &vmlist.UnavailableError{Cause: err}
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, &vmlist.UnavailableError{Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &vmlist.UnavailableError{Cause: &logservice.StatusError{Status: response.StatusCode}}
	}
	var vms []vmlist.VM
	if err := json.NewDecoder(response.Body).Decode(&vms); err != nil {
		return nil, &vmlist.UnavailableError{Cause: err}
	}
	return vms, nil
}
