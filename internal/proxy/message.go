package proxy

import (
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// requestHead is the head of a request, whose body follows it. The digest of an API key means nothing to another VM and is left out.
type requestHead struct {
	ID             string
	Method         string
	URI            string
	Path           string
	Host           string
	Header         http.Header
	Identity       http.Header              `cbor:",omitempty"`
	Model          string                   `cbor:",omitempty"`
	Adapter        string                   `cbor:",omitempty"`
	PromptTokens   int                      `cbor:",omitempty"`
	MaxTokens      int                      `cbor:",omitempty"`
	PromptSections []dispatch.PromptSection `cbor:",omitempty"`
	ResumeAfter    string                   `cbor:",omitempty"`
	Resumes        string                   `cbor:",omitempty"`
	// Remaining is how long the caller will wait once the request has arrived.
	Remaining time.Duration
	Proxied   dispatch.Proxied
}

// responseHead is the head of a response: a refusal, or the status and header of a runner's response, whose body follows it.
type responseHead struct {
	Refusal *refusal.Refusal `cbor:",omitempty"`
	Status  int              `cbor:",omitempty"`
	Header  http.Header      `cbor:",omitempty"`
	Runner  string           `cbor:",omitempty"`
	Release string           `cbor:",omitempty"`
}

// newRequestHead describes a request for a VM.
func (c *Client) newRequestHead(r *dispatch.Request, attempt dispatch.Attempt, to *roster.Runner) requestHead {
	head := requestHead{
		ID:             r.ID,
		Method:         r.Method,
		URI:            r.URI,
		Path:           r.Path,
		Host:           r.Host,
		Header:         r.Header,
		Identity:       r.Identity.Header,
		Model:          r.Model,
		Adapter:        r.Adapter,
		PromptTokens:   r.PromptTokens,
		MaxTokens:      r.MaxTokens,
		PromptSections: r.PromptSections,
		ResumeAfter:    attempt.ResumeAfter,
		Resumes:        r.Resumes,
		Remaining:      max(attempt.Remaining-c.roundTrips.RoundTrip(to.FailureDomain)/2, time.Millisecond),
	}
	if attempt.Proxied != nil {
		head.Proxied = *attempt.Proxied
	}
	head.Proxied.VM = c.vm
	return head
}

// request returns the request that arrived with a body.
func (h *requestHead) request(body []byte, arrived time.Time) *dispatch.Request {
	header := h.Header
	if header == nil {
		header = make(http.Header)
	}
	return &dispatch.Request{
		ID:             h.ID,
		Method:         h.Method,
		URI:            h.URI,
		Path:           h.Path,
		Host:           h.Host,
		Header:         header,
		Identity:       dispatch.Identity{Header: h.Identity},
		Body:           body,
		Model:          h.Model,
		Adapter:        h.Adapter,
		PromptTokens:   h.PromptTokens,
		MaxTokens:      h.MaxTokens,
		PromptSections: h.PromptSections,
		ResumeAfter:    h.ResumeAfter,
		Resumes:        h.Resumes,
		Arrived:        arrived,
		MaxWait:        max(h.Remaining, time.Millisecond),
		Proxied:        &h.Proxied,
	}
}
