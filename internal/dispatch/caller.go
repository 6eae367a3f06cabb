package dispatch

import (
	"net/http"

	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// Caller takes the answer to one request.
type Caller interface {
	// Begin sends the head of an answer; length is -1 if it isn't known.
	Begin(status int, header http.Header, length int64) error
	// Write sends a piece of the body at once.
	Write(piece []byte) error
	// Refuse sends an answer of the system's own; nothing may have been sent before.
	Refuse(r *refusal.Refusal)
	// Abort breaks the connection off, so that the answer can't look whole.
	Abort()
}
