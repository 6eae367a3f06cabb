package modelcall

// Sink takes an answer on its way to the caller.
type Sink interface {
	// Event takes one event of a streamed answer; an error means that the caller is gone.
	Event(event []byte) error
	// Whole takes the body of an answer that isn't streamed.
	Whole(body []byte) error
	// Done marks a streamed answer as whole.
	Done() error
}
