package configuration

import (
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// Stream is the log stream that operators publish configuration to.
const Stream = "Configuration"

// The kinds of record of the stream.
const (
	ChangeKind record.Kind = "Change"
	UseKind    record.Kind = "Use"
)

// Change publishes a document against the version it was made for.
type Change struct {
	Base     logservice.Offset
	Document []byte
	// Preset is put in force with the document; empty keeps the one in force.
	Preset string
}

// Use puts a preset in force against the version it was chosen for.
type Use struct {
	Base   logservice.Offset
	Preset string
}

// Snapshot repeats a folded state, so that it outlives the retention of the records behind it.
type Snapshot struct {
	Through  logservice.Offset
	Version  logservice.Offset
	Winner   string
	Document []byte
	Preset   string
	Outcomes []Outcome
}
