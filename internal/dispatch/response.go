package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Attempt holds the parameters of one attempt at a request.
type Attempt struct {
	// Remaining is how long the runner may work on the request.
	Remaining time.Duration
	// ResumeAfter is the ID of the last event that the caller has.
	ResumeAfter string
	// Priority ranks requests at a runner; 0 comes first.
	Priority int
	// Account is the name of the request's account that the runner is told, or empty.
	Account string
	// PassIdentity is set if the headers of the request's Identity are passed on: no accounts are configured, and what clients and
	// runners state to each other is not interpreted.
	PassIdentity bool
	// Fresh is set if a connection that the runner may have forgotten is to be avoided: the request may run only once, or an
	// attempt at it has failed.
	Fresh bool
	// OnHeadRead is to be called with how much was read of the response until its head is complete; if it fails, the attempt is to
	// be given up.
	OnHeadRead func(bytes int) error
	// MaxConnections limits this VM's connections to the runner; 0 means no limit.
	MaxConnections int
	// Proxied is what another VM is told of the request that is sent through it; nil if it is sent to a runner.
	Proxied *Proxied
}

// Response is the status and header of a runner's response, with its body to be read.
type Response struct {
	Status int
	// Header holds the headers to pass on to the caller.
	Header http.Header
	// Length is the length of the body, or -1 if it isn't known.
	Length int64
	// EndUnmarked is set if nothing but the end of the connection marks the end of the body, so that a response that broke off may
	// look complete.
	EndUnmarked bool
	// NotRun is set if the runner states that it did not and will not execute the request.
	NotRun bool
	// Misdirected is set if the request was meant for another runner, or if the runner lacks the model.
	Misdirected bool
	// Leaving is set if the runner states that it is about to stop.
	Leaving bool
	// RetryAfter is the time for which the runner asks for no further request, or 0 if it does not.
	RetryAfter time.Duration
	// Brittle is how many requests the runner can reject within a second, or 0 if it states no limit.
	Brittle int
	// Load is nil if the runner did not report its load.
	Load *ReportedLoad
	// Refused is set if a VM through which the request was sent refused it itself.
	Refused *refusal.Refusal
	// Proxy is set if the response came through another VM, unless Refused is.
	Proxy *ProxyResult
	Body  io.Reader
	// Ended, unless it is nil, returns when the end of the body was read, which Body may return later. It is called after that.
	Ended func() time.Time
	// Close ends the response; before the end of the body, it makes the runner stop.
	Close func()
}

// ProxyResult tells which runner answered a request that was sent through another VM.
type ProxyResult struct {
	Runner  string
	Release string
}

// declined reports whether the runner states that it did not execute the request.
func (r *Response) declined() bool { return r.NotRun || r.Misdirected }

// successful reports whether the response has a success status.
func (r *Response) successful() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// ReportedLoad is the load that a runner reports of itself, in requests.
type ReportedLoad struct {
	Running int
	Waiting int
	Slots   int
	// Figure is how long work takes at the runner at the moment, in percent of the usual time; 0 if the runner does not report it.
	Figure int
}

// Sender sends a request to a runner exactly once; it fails with endpoint.NotSentError, outbound.ConnectionLimitError or
// endpoint.NoResponseError.
type Sender interface {
	Send(ctx context.Context, to *roster.Runner, r *Request, attempt Attempt) (*Response, error)
}
