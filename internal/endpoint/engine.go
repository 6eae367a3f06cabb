package endpoint

import (
	"context"
	"io"
	"net/http"
)

// Engine is a client for model engines.
type Engine interface {
	// Report returns the status report of the engine at an address.
	Report(ctx context.Context, address string) (Report, error)
	// Order sends an order once, without retries. NotSentError means that the engine can't have received it.
	Order(ctx context.Context, address string, order Order) (OrderResponse, error)
	// Generate starts generating an answer. The caller must close the answer.
	Generate(ctx context.Context, address string, request GenerateRequest) (Response, error)
}

// Response is a response of an engine that is still being received.
type Response interface {
	// Next returns the next event of a streamed answer, which is valid until the next call. It returns io.EOF at the end of a
	// complete answer and TruncatedError if the answer ended early.
	Next() (Event, error)
	// ReadAll returns the complete body of an answer that isn't streamed.
	ReadAll() ([]byte, error)
	io.Closer
}

// Event is one event of a streamed answer.
type Event struct {
	// Data is the event as it is sent to the caller, including the blank line that ends it.
	Data []byte
	// Final is true if no more tokens follow.
	Final bool
}

// Service is a client for plain services.
type Service interface {
	// Forward sends a call to the endpoint at an address. If once is true, it uses a new connection and never retries. The
	// caller must close the response body. NotSentError means that no byte can have reached the endpoint.
	Forward(ctx context.Context, address string, request *http.Request, once bool) (*http.Response, error)
}
