package endpoint

// Generation is one call to a model, as sent to an engine.
type Generation struct {
	RequestID string
	// Body is the caller's chat-completion request.
	Body []byte
	// Priority ranks the call at the engine; higher goes first.
	Priority int
	// ResumeFrom is the number of tokens the caller already has.
	ResumeFrom int
	Stream     bool
}
