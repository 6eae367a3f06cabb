package dispatch

import (
	"net/http"
	"time"
)

// Request is a caller's request; the core never looks into its header and body.
type Request struct {
	// ID is the caller's name for this attempt; it may run once at most unless the route says otherwise.
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Model and Adapter are empty for requests to plain services.
	Model        string
	Adapter      string
	PromptTokens int
	MaxTokens    int
	// Parts names the shared parts of the prompt in order.
	Parts []Part
	// ResumeAfter is the last event that the caller already has, if any.
	ResumeAfter string
	Arrived     time.Time
	// Left is how long the caller waits from Arrived on; 0 means that it did not say.
	Left time.Duration
}

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}
