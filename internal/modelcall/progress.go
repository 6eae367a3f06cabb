package modelcall

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// progress tracks the tokens of a response that were relayed to the caller.
type progress struct {
	tokens  int
	firstAt time.Time
	lastAt  time.Time
}

func (p *progress) addToken(now time.Time) {
	if p.tokens == 0 {
		p.firstAt = now
	}
	p.lastAt = now
	p.tokens++
}

// meanInterval returns the mean time between tokens.
func (p *progress) meanInterval() time.Duration {
	if p.tokens < 2 {
		return 0
	}
	return p.lastAt.Sub(p.firstAt) / time.Duration(p.tokens-1)
}

// meetsObjective reports whether a complete response met its objective.
func (p *progress) meetsObjective(o configuration.Objective, arrived time.Time) bool {
	if p.tokens == 0 || p.firstAt.Sub(arrived) > o.FirstToken.Duration {
		return false
	}
	return o.BetweenTokens.Duration == 0 || p.meanInterval() <= o.BetweenTokens.Duration
}
