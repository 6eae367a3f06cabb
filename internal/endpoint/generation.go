package endpoint

// GenerateRequest is a request to generate a chat completion, as sent to an engine.
type GenerateRequest struct {
	RequestID string
	// Body is the caller's chat-completion request.
	Body []byte
	// Priority is the priority of the call at the engine; higher values go first.
	Priority int
	// ResumeFrom is the number of tokens that the caller has already received.
	ResumeFrom int
	Stream     bool
}
