package httpendpoint

// The header names of the engines' HTTP interface.
const (
	RequestIDHeader   = "X-Request-Id"
	PriorityHeader    = "X-Priority"
	ResumeFromHeader  = "X-Resume-From"
	IncarnationHeader = "X-Incarnation"
)
