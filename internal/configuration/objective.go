package configuration

// Objective is the service level owed to one service and class.
type Objective struct {
	Service string
	Class   Class
	// FirstToken is the longest time from call to first token, or to the whole answer of a plain service.
	FirstToken Duration
	// BetweenTokens is the longest time between two tokens; zero for plain services.
	BetweenTokens Duration
	// Share is the part of the calls that must meet the bounds, such as 0.95.
	Share float64
}
