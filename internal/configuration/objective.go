package configuration

// Objective is the service level objective (SLO) for one service and class.
type Objective struct {
	Service string
	Class   Class
	// FirstToken is the maximum time from the call to the first token, or to the complete response of a plain service.
	FirstToken Duration
	// BetweenTokens is the maximum time between two tokens; zero for plain services.
	BetweenTokens Duration
	// Share is the fraction of calls that must stay within these limits, such as 0.95.
	Share float64
}
