package operatorapi

import (
	"encoding/json"
	"time"
)

// Answer is the result of a change.
type Answer string

// Results of a change.
const (
	Accepted   Answer = "Accepted"
	Conflict   Answer = "Conflict"
	Invalid    Answer = "Invalid"
	UnknownYet Answer = "UnknownYet"
	// NotAppended means that the change certainly had no effect, because the log accepted no record.
	NotAppended Answer = "NotAppended"
)

// Change is a request to put a document, a preset or both in force.
type Change struct {
	// ID identifies the change, so that its outcome can be queried later.
	ID string
	// Base is the version that the change is based on.
	Base uint64
	// Document is the new configuration; if empty, the one in force stays.
	Document json.RawMessage `json:",omitempty"`
	// Preset is the preset to put in force; if empty, the one in force stays.
	Preset string `json:",omitempty"`
}

// Fault is one error in a document.
type Fault struct {
	Path   string
	Reason string
}

// Outcome is the response to a change.
type Outcome struct {
	ID     string
	Answer Answer
	// Version is the version in force after the change was accepted or rejected.
	Version uint64 `json:",omitempty"`
	// Winner is the ID of the change that put Version in force.
	Winner string  `json:",omitempty"`
	Reason string  `json:",omitempty"`
	Faults []Fault `json:",omitempty"`
}

// InForce is the configuration in force on one VM.
type InForce struct {
	VM       string
	Version  uint64
	Preset   string
	Presets  []string
	Document json.RawMessage
}

// Decision explains how one call was routed or why it was refused.
type Decision struct {
	At        time.Time
	VM        string
	RequestID string
	Caller    string
	Model     string
	Class     string
	// To is the endpoint or failure domain chosen, or the best candidate if the call was refused.
	To string
	// Predicted is the expected time to the first token, and Due the time that was left until it was due.
	Predicted time.Duration
	Due       time.Duration
	Refused   string `json:",omitempty"`
}

// Move explains one order that was sent to an engine.
type Move struct {
	At       time.Time
	ID       string
	Action   string
	Model    string
	Endpoint string
	// Sender is the name of the VM that sent the order.
	Sender string
	Why    string
	// Settled is the reason why the order counts as settled; it is empty while the order is open.
	Settled string `json:",omitempty"`
}

// Explanation holds the last decisions and moves that match a query.
type Explanation struct {
	VM        string
	Decisions []Decision
	Moves     []Move
}

// Burn holds the error budget burn rates of a failure domain, counted on the VMs in ReachedVMs.
type Burn struct {
	Windows    []string
	Lines      []BurnLine
	Models     []NamedCount
	Callers    []NamedCount
	Unreached  []string `json:",omitempty"`
	ReachedVMs []string
}

// BurnLine holds the burn rates of one objective, one for each of the windows.
type BurnLine struct {
	Service string
	Class   string
	// Share is the fraction of calls that must meet the objective.
	Share float64
	Burn  []float64
	// Calls is the number of calls that ended in the longest window.
	Calls uint64
	// BudgetLeft is the remaining fraction of the longest window's error budget; it is negative if the budget is overspent.
	BudgetLeft float64
	FastAlert  bool
	SlowAlert  bool
}

// NamedCount is the number of calls of a model or caller, and how many of them missed their objective.
type NamedCount struct {
	Name  string
	Total uint64
	Bad   uint64
}
