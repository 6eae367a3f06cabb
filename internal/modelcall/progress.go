package modelcall

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// progress is how far the answer to a call has come.
type progress struct {
	tokens int
	first  time.Time
	last   time.Time
}

func (p *progress) token(now time.Time) {
	if p.tokens == 0 {
		p.first = now
	}
	p.last = now
	p.tokens++
}

// interval returns the mean time between tokens.
func (p *progress) interval() time.Duration {
	if p.tokens < 2 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.tokens-1)
}

// meets reports whether a whole answer kept its objective.
func (p *progress) meets(o configuration.Objective, arrived time.Time) bool {
	if p.tokens == 0 || p.first.Sub(arrived) > o.FirstToken.Duration {
		return false
	}
	return o.BetweenTokens.Duration == 0 || p.interval() <= o.BetweenTokens.Duration
}
