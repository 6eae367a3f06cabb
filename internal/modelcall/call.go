package modelcall

import (
	"encoding/json"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// bytesPerToken is the average size of a prompt token, used to estimate the number of tokens in a request.
const bytesPerToken = 4

// interactivePriorityBoost ranks interactive calls (class People) before all batch calls: it exceeds any difference
// between two deadlines in milliseconds.
const interactivePriorityBoost = int64(1) << 41

// Call is a request to a model.
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
	// Forwarded is set on a call that a peer forwarded to this VM; it must not be forwarded again.
	Forwarded bool
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int
	// AlreadyAdmitted is set on a call that was admitted before and whose endpoint failed.
	AlreadyAdmitted bool
}

// chatRequest holds the fields of a chat-completion request that the handler reads.
type chatRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

// BodyError reports a request body that is not a valid chat-completion request.
type BodyError struct {
	Reason string
}

// Error implements error.
func (e *BodyError) Error() string { return "request body: " + e.Reason }

func decodeRequest(body []byte) (chatRequest, error) {
	var r chatRequest
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

// Priority returns the call's priority at an engine: interactive calls (class People) rank before batch calls, and earlier
// deadlines before later ones.
func (c Call) Priority() int64 {
	priority := -c.Deadline().UnixMilli()
	if c.Model.Class == configuration.People {
		priority += interactivePriorityBoost
	}
	return priority
}

// WithResumeFrom returns a copy of the call whose response continues after the given number of tokens.
func (c Call) WithResumeFrom(tokens int) Call {
	c.ResumeFrom = tokens
	return c
}
