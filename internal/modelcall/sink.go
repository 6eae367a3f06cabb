package modelcall

// Sink writes the response of a call to its caller.
type Sink interface {
	// Event writes one event of a streamed response; an error means that the caller is disconnected.
	Event(event []byte) error
	// Body writes the body of a response that isn't streamed.
	Body(body []byte) error
	// Done marks a streamed response as complete.
	Done() error
}
