package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Try is what one send of a request adds to it.
type Try struct {
	// Left is how long the runner may work.
	Left time.Duration
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
	// Priority orders requests at a runner; 0 comes first.
	Priority int
	// MaxConnections bounds this VM's connections to the runner.
	MaxConnections int
}

// Answer is the head of a runner's answer, with its body to be read.
type Answer struct {
	Status int
	// Header is what the caller gets to see.
	Header http.Header
	// Length is the length of the body, or -1 if it isn't known.
	Length int64
	// NotRun tells that the runner says that it did not and will not run the request.
	NotRun bool
	// Misdirected tells that the runner is another one, or lacks the model.
	Misdirected bool
	// Load is nil when the runner did not tell its load.
	Load *Figures
	Body io.Reader
	// Close ends the answer; before the end of the body it makes the runner stop.
	Close func()
}

// Figures is a runner's own account of its load.
type Figures struct {
	Running int
	Waiting int
	Slots   int
}

// Sender sends a request to a runner exactly once; it fails with endpoint.UnsentError, outbound.CapError or
// endpoint.UnansweredError.
type Sender interface {
	Send(ctx context.Context, to *roster.Runner, r *Request, try Try) (*Answer, error)
}
