package operatorapi

import (
	"encoding/json"
	"time"
)

// Answer tells an operator what became of a change.
type Answer string

// The answers.
const (
	Accepted   Answer = "Accepted"
	Conflict   Answer = "Conflict"
	Invalid    Answer = "Invalid"
	UnknownYet Answer = "UnknownYet"
	// NotAppended means that the change certainly had no effect, because the log took no record.
	NotAppended Answer = "NotAppended"
)

// Change asks for a document, a preset or both to be put in force.
type Change struct {
	// ID names the change, so that its outcome can be asked for again.
	ID string
	// Base is the version that the change was made against.
	Base uint64
	// Document is the configuration; empty keeps the one in force.
	Document json.RawMessage `json:",omitempty"`
	// Preset is the preset to put in force; empty keeps the one in force.
	Preset string `json:",omitempty"`
}

// Fault is one thing wrong with a document.
type Fault struct {
	Path   string
	Reason string
}

// Outcome is the answer to a change.
type Outcome struct {
	ID     string
	Answer Answer
	// Version is the version in force after the change was judged.
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

// Decision explains where one call went.
type Decision struct {
	At        time.Time
	VM        string
	RequestID string
	Caller    string
	Model     string
	Class     string
	To        string
	Predicted time.Duration
	Due       time.Duration
	Refused   string `json:",omitempty"`
}

// Move explains one order to an engine.
type Move struct {
	At       time.Time
	ID       string
	Action   string
	Model    string
	Endpoint string
	Sender   string
	Why      string
	Settled  string `json:",omitempty"`
}

// Explanation is the last decisions and moves that match a question.
type Explanation struct {
	VM        string
	Decisions []Decision
	Moves     []Move
}

// Burn is the counts of one VM, or of all VMs of its failure domain.
type Burn struct {
	Windows    []string
	Lines      []BurnLine
	Models     []NamedCount
	Callers    []NamedCount
	Unreached  []string `json:",omitempty"`
	ReachedVMs []string
}

// BurnLine is the burn of one objective.
type BurnLine struct {
	Service    string
	Class      string
	Share      float64
	Burn       []float64
	Calls      uint64
	BudgetLeft float64
	FastAlert  bool
	SlowAlert  bool
}

// NamedCount is how many calls of a model or caller there were, and how many missed.
type NamedCount struct {
	Name  string
	Total uint64
	Bad   uint64
}
