package modelcall

import (
	"encoding/json"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// bytesPerToken is how many bytes of a prompt make one token, on average.
const bytesPerToken = 4

// peoplePriority puts calls of people before any deadline of batch calls.
const peoplePriority = int64(1) << 41

// Call is one request to a model.
type Call struct {
	RequestID string
	Caller    string
	// Name is the model or adapter that the caller asked for.
	Name      string
	Model     configuration.Model
	Objective configuration.Objective
	Body      []byte
	Stream    bool
	// Prefill is the estimated number of prompt tokens.
	Prefill int
	Arrived time.Time
	// Hop tells that a peer sent the call here, so that it goes no further.
	Hop bool
	// ResumeFrom is the number of tokens that the caller has already.
	ResumeFrom int
	// Begun tells that the call was admitted before, and its endpoint failed.
	Begun bool
}

// request is the part of a chat-completion request that matters here.
type request struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

// BodyError reports a request body that is not a chat-completion request.
type BodyError struct {
	Reason string
}

// Error implements error.
func (e *BodyError) Error() string { return "request body: " + e.Reason }

func decode(body []byte) (request, error) {
	var r request
	if err := json.Unmarshal(body, &r); err != nil {
		return r, &BodyError{Reason: err.Error()}
	}
	if r.Model == "" {
		return r, &BodyError{Reason: "model is missing"}
	}
	if len(r.Messages) == 0 {
		return r, &BodyError{Reason: "messages are missing"}
	}
	return r, nil
}

// Deadline returns when the first token is due.
func (c Call) Deadline() time.Time { return c.Arrived.Add(c.Objective.FirstToken.Duration) }

// Priority returns the call's rank at an engine: people first, then the earliest deadline.
func (c Call) Priority() int64 {
	priority := -c.Deadline().UnixMilli()
	if c.Model.Class == configuration.People {
		priority += peoplePriority
	}
	return priority
}

// WithResumeFrom returns the call as it goes on after so many tokens.
func (c Call) WithResumeFrom(tokens int) Call {
	c.ResumeFrom = tokens
	return c
}
