package dispatch

import (
	"net/http"

	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// Caller receives the response to one request.
type Caller interface {
	// WriteHeader sends the status and header of a response; length is -1 if it isn't known.
	WriteHeader(status int, header http.Header, length int64) error
	// Write sends a part of the body immediately.
	Write(piece []byte) error
	// Refuse sends an error response; nothing may have been sent before.
	Refuse(r *refusal.Refusal)
	// Interrupt makes a Write that blocks fail, as well as all later ones; any goroutine may call it.
	Interrupt()
	// Abort breaks off the connection, so that a partial response can't look complete.
	Abort()
}
