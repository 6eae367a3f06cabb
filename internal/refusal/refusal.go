package refusal

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Ran tells a caller whether its call was executed.
type Ran string

// The values of Ran.
const (
	// NotRun means that the call was not executed and never will be.
	NotRun Ran = "NotRun"
	// Unknown means that the call was sent to an endpoint but its outcome is not known.
	Unknown Ran = "Unknown"
	// Executed means that the call was executed.
	Executed Ran = "Ran"
)

// Code is the stable identifier of the reason for a refusal.
type Code string

// The codes that callers can receive.
const (
	BadRequest         Code = "BadRequest"
	TooLarge           Code = "TooLarge"
	UnknownModel       Code = "UnknownModel"
	UnknownService     Code = "UnknownService"
	UnknownKey         Code = "UnknownKey"
	NotReady           Code = "NotReady"
	Stopping           Code = "Stopping"
	TooLate            Code = "TooLate"
	OverShare          Code = "OverShare"
	TooManyCalls       Code = "TooManyCalls"
	NoEndpoint         Code = "NoEndpoint"
	EndpointDeclined   Code = "EndpointDeclined"
	AnswerBroken       Code = "AnswerBroken"
	OutcomeUnknown     Code = "OutcomeUnknown"
	OutcomePending     Code = "OutcomePending"
	ClaimsUnavailable  Code = "ClaimsUnavailable"
	KeyTooOld          Code = "KeyTooOld"
	KeyReused          Code = "KeyReused"
	KeyElsewhere       Code = "KeyElsewhere"
	OutcomeTooLarge    Code = "OutcomeTooLarge"
	ConfigurationFault Code = "ConfigurationFault"
	VersionConflict    Code = "VersionConflict"
	UnknownYet         Code = "UnknownYet"
	LogUnavailable     Code = "LogUnavailable"
	QuarantinedPrompt  Code = "QuarantinedPrompt"
	ReleaseUnknown     Code = "ReleaseUnknown"
	ReleaseGone        Code = "ReleaseGone"
	OutOfReach         Code = "OutOfReach"
	UnknownAccount     Code = "UnknownAccount"
	OverQuota          Code = "OverQuota"
)

// Refusal is an error response that a caller gets in place of the response that it asked for.
type Refusal struct {
	Status     int
	Code       Code
	Ran        Ran
	Message    string
	RetryAfter time.Duration
}

// New returns a refusal of a call that was not executed.
func New(status int, code Code, message string) *Refusal {
	return &Refusal{
		Status:  status,
		Code:    code,
		Ran:     NotRun,
		Message: message,
	}
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s (%s): %s", r.Code, r.Ran, r.Message) }

// WithRan returns a copy of the refusal with the given execution state.
func (r Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return &r
}

// WithRetryAfter returns a copy of the refusal that asks the caller to wait for d before it retries.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return &r
}

// errorBody is the JSON encoding of a refusal.
type errorBody struct {
	Code              Code
	Ran               Ran
	Message           string
	RetryAfterSeconds int `json:",omitempty"`
}

// Write sends the refusal as an HTTP response and keeps a Retry-After header that is already set.
func (r *Refusal) Write(w http.ResponseWriter) {
	seconds := int(math.Ceil(r.RetryAfter.Seconds()))
	if seconds > 0 && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(struct{ Error errorBody }{Error: r.errorBody(seconds)})
}

// Event encodes the refusal as a server-sent event that ends a stream that has already started.
func (r *Refusal) Event() []byte {
	encoded, err := json.Marshal(struct {
		Error errorBody `json:"error"`
	}{Error: r.errorBody(0)})
	if err != nil {
		return nil
	}
	return append(append([]byte("data: "), encoded...), '\n', '\n')
}

func (r *Refusal) errorBody(retryAfterSeconds int) errorBody {
	return errorBody{
		Code:              r.Code,
		Ran:               r.Ran,
		Message:           r.Message,
		RetryAfterSeconds: retryAfterSeconds,
	}
}
