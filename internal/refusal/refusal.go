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

// Whether a call ran.
const (
	// NotRun means that the call did not run and never will.
	NotRun Ran = "NotRun"
	// Unknown means that the call was sent and its outcome is not known.
	Unknown Ran = "Unknown"
	// Executed means that the call ran.
	Executed Ran = "Ran"
)

// Code is the stable name of a refusal.
type Code string

// The codes.
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
)

// Refusal is an answer that stands in for the one the caller wanted.
type Refusal struct {
	Status     int
	Code       Code
	Ran        Ran
	Message    string
	RetryAfter time.Duration
}

// New returns a refusal of a call that did not run.
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

// WithRan returns the refusal with another account of the call.
func (r Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return &r
}

// WithRetryAfter returns the refusal with a time after which a retry may help.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return &r
}

// body is the JSON form of a refusal.
type body struct {
	Code              Code
	Ran               Ran
	Message           string
	RetryAfterSeconds int `json:",omitempty"`
}

// Write sends the refusal as an HTTP response; a Retry-After that the writer already has stays.
func (r *Refusal) Write(w http.ResponseWriter) {
	seconds := int(math.Ceil(r.RetryAfter.Seconds()))
	if seconds > 0 && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(struct{ Error body }{Error: r.body(seconds)})
}

// Event returns the refusal as the last event of a stream that already began.
func (r *Refusal) Event() []byte {
	encoded, err := json.Marshal(struct {
		Error body `json:"error"`
	}{Error: r.body(0)})
	if err != nil {
		return nil
	}
	return append(append([]byte("data: "), encoded...), '\n', '\n')
}

func (r *Refusal) body(seconds int) body {
	return body{
		Code:              r.Code,
		Ran:               r.Ran,
		Message:           r.Message,
		RetryAfterSeconds: seconds,
	}
}
