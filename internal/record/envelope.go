package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// MaxBytes is the maximum size of a payload, in bytes.
const MaxBytes = 4 << 20

const maxIDBytes = 64

// Kind identifies the type of a record's body.
type Kind string

// Envelope is one record of a log stream.
type Envelope struct {
	Kind Kind
	ID   string
	Body cbor.RawMessage
}

// MalformedError reports a record that could not be decoded or encoded.
type MalformedError struct {
	Reason string
}

// Error implements error.
func (e *MalformedError) Error() string { return "malformed record: " + e.Reason }

// UnknownKindError reports a record whose kind is not defined for its stream.
type UnknownKindError struct {
	Kind Kind
}

// Error implements error.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown record kind %q", e.Kind) }

// DuplicateError reports a record whose ID was already applied.
type DuplicateError struct {
	ID string
}

// Error implements error.
func (e *DuplicateError) Error() string { return fmt.Sprintf("duplicate record %q", e.ID) }

// OutOfOrderError reports a record whose offset is not greater than the offset of the last applied record.
type OutOfOrderError struct {
	Offset      uint64
	LastApplied uint64
}

// Error implements error.
func (e *OutOfOrderError) Error() string {
	return fmt.Sprintf("record at offset %d is not after %d", e.Offset, e.LastApplied)
}

// New returns an envelope with a new ID and the CBOR encoding of body.
func New(kind Kind, body any) (Envelope, error) {
	return NewWithID(kind, uuid.NewString(), body)
}

// NewWithID returns an envelope with the given ID and the CBOR encoding of body.
func NewWithID(kind Kind, id string, body any) (Envelope, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return Envelope{}, &MalformedError{Reason: err.Error()}
	}
	return Envelope{
		Kind: kind,
		ID:   id,
		Body: raw,
	}, nil
}

// Encode returns the envelope as a record payload, or MalformedError.
func (e Envelope) Encode() ([]byte, error) {
	payload, err := cbor.Marshal(e)
	if err != nil {
		return nil, &MalformedError{Reason: err.Error()}
	}
	if len(payload) > MaxBytes {
		return nil, &MalformedError{Reason: fmt.Sprintf("%d bytes, at most %d are allowed", len(payload), MaxBytes)}
	}
	return payload, nil
}

// Decode parses the envelope in a record payload, or fails with MalformedError.
func Decode(payload []byte) (Envelope, error) {
	if len(payload) > MaxBytes {
		return Envelope{}, &MalformedError{Reason: fmt.Sprintf("%d bytes, at most %d are allowed", len(payload), MaxBytes)}
	}
	var e Envelope
	if err := cbor.Unmarshal(payload, &e); err != nil {
		return Envelope{}, &MalformedError{Reason: err.Error()}
	}
	if e.Kind == "" || e.ID == "" || len(e.ID) > maxIDBytes {
		return Envelope{}, &MalformedError{Reason: "kind or ID is missing or too long"}
	}
	return e, nil
}

// Body decodes the body of an envelope into T, or fails with MalformedError.
func Body[T any](e Envelope) (T, error) {
	var body T
	if err := cbor.Unmarshal(e.Body, &body); err != nil {
		return body, &MalformedError{Reason: err.Error()}
	}
	return body, nil
}
