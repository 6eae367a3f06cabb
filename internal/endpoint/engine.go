package endpoint

import (
	"context"
	"io"
	"net/http"
)

// Engine reaches model engines.
type Engine interface {
	// Report asks the engine at an address for its account of itself.
	Report(ctx context.Context, address string) (Report, error)
	// Order sends an order once; UnsentError means the engine can't have received it.
	Order(ctx context.Context, address string, order Order) (OrderAnswer, error)
	// Generate starts an answer; the caller closes it.
	Generate(ctx context.Context, address string, generation Generation) (Answer, error)
}

// Answer is an engine's answer while it arrives.
type Answer interface {
	// Next returns the next event of a streamed answer, valid until the following call; io.EOF marks a
	// whole answer's end and TruncatedError one that broke off.
	Next() (Event, error)
	// Whole returns the body of an answer that isn't streamed.
	Whole() ([]byte, error)
	io.Closer
}

// Event is one event of a streamed answer.
type Event struct {
	// Data is the event as it goes to the caller, blank line included.
	Data []byte
	// Final tells that the answer has no further tokens.
	Final bool
}

// Service reaches plain services.
type Service interface {
	// Forward sends a call once on a connection of its own when once is true; the caller closes the response body.
	// UnsentError means that no byte can have reached the endpoint.
	Forward(ctx context.Context, address string, request *http.Request, once bool) (*http.Response, error)
}
