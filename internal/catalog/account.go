package catalog

// Account is a client account: the API keys that identify its requests, its priority and its quota.
type Account struct {
	Name string
	// Keys lists the digests of the API keys; the keys themselves are not kept.
	Keys []KeyDigest
	// Priority ranks the accounts, 0 is the highest priority; nil if the configuration gives none.
	Priority *int
	Quota    Quota
}

// Quota limits the requests of an account on all VMs together.
type Quota struct {
	// Rate is the units allowed per second, or 0 if the account has no limit; Burst is the units allowed beyond it at once.
	Rate  float64
	Burst float64
	// CountsTokens is set if the unit is a token of prompts and responses; otherwise it is a request.
	CountsTokens bool
	// PlainTokens is the cost of a request that does not state its tokens, if CountsTokens is set.
	PlainTokens float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns the units that a request takes, given the number of its prompt tokens and generated tokens, 0 if it states none.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case !q.CountsTokens:
		return 1
	case tokens <= 0:
		return q.PlainTokens
	default:
		return float64(tokens)
	}
}
