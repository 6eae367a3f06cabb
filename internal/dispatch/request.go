package dispatch

import (
	"net/http"
	"time"
)

// Request is a caller's request; this package does not interpret its header or body.
type Request struct {
	// ID is the identifier that the caller gave this request, which may run at most once unless the route allows more.
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI  string
	Path string
	Host string
	// Header holds the headers to pass on, without those of Identity.
	Header   http.Header
	Identity Identity
	Body     []byte
	// Model and Adapter are empty for services without models.
	Model        string
	Adapter      string
	PromptTokens int
	MaxTokens    int
	// PromptSections lists the shared sections of the prompt in order.
	PromptSections []PromptSection
	// ResumeAfter is the ID of the last event that the caller already has, if any.
	ResumeAfter string
	// Resumes is the ID of the request that brought the caller the first event of the stream that it takes up, or empty.
	Resumes string
	Arrived time.Time
	// MaxWait is how long the caller will wait, counted from Arrived; 0 means that it did not say.
	MaxWait time.Duration
	// Proxied is set if another VM sends the request through this one.
	Proxied *Proxied
}

// PromptSection is a section of a prompt that other requests may share.
type PromptSection struct {
	ID     string
	Tokens int
}
