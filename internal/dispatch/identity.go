package dispatch

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// redactedIdentity is printed in place of an identity, whose headers hold the API key.
const redactedIdentity = "(identity)"

// Identity is what a client states about its account. It is kept apart from a request's other headers and is not printed.
type Identity struct {
	// Key is the digest of the API key, or the zero value if the request has none.
	Key catalog.KeyDigest
	// Header holds the headers that state the identity. They are passed on only if the configuration has no accounts.
	Header http.Header
}

// Format implements fmt.Formatter; it prints no key.
func (i Identity) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, redactedIdentity) }

// LogValue implements slog.LogValuer.
func (i Identity) LogValue() slog.Value { return slog.StringValue(redactedIdentity) }

// MarshalText implements encoding.TextMarshaler, and thus the JSON form, which log handlers use for structs.
func (i Identity) MarshalText() ([]byte, error) { return []byte(redactedIdentity), nil }
