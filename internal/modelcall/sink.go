package modelcall

// Sink receives an answer on its way to the caller.
type Sink interface {
	// Event writes one event of a streamed answer; an error means that the caller is disconnected.
	Event(event []byte) error
	// Body writes the body of an answer that isn't streamed.
	Body(body []byte) error
	// Done marks a streamed answer as complete.
	Done() error
}
