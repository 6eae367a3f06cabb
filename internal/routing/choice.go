package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// bestFew is how many of the best candidates a choice is made among.
	bestFew = 4
	// nearBest is how much later than the best a candidate may be and still be chosen.
	nearBest = 20 * time.Millisecond
	// maxLookedAt bounds how many candidates one choice looks at, about.
	maxLookedAt = 64
)

// Choice is where a call goes and when its first token is expected.
type Choice[C Candidate] struct {
	Candidate C
	Predicted time.Duration
}

// Choose returns a candidate among the best few, or false if none can take the call. The choice falls on the
// better of two drawn at random, so that VMs that see the same old reports don't all pick the same endpoint.
func Choose[C Candidate](candidates []C, exclude C, prefill int, now time.Time, random *rand.Rand) (Choice[C], bool) {
	var few [bestFew]Choice[C]
	n := 0
	step, at := 1, 0
	if len(candidates) > maxLookedAt {
		// A random part of very many is nearly as good as all of them.
		step = len(candidates) / maxLookedAt
		at = draw(random, step)
	}
	for ; at < len(candidates); at += step {
		c := candidates[at]
		if c == exclude {
			continue
		}
		predicted, ok := c.Predict(prefill, now)
		if !ok {
			continue
		}
		n = insert(&few, n, Choice[C]{
			Candidate: c,
			Predicted: predicted,
		})
	}
	if n == 0 {
		return Choice[C]{}, false
	}
	near := 1
	for near < n && few[near].Predicted-few[0].Predicted <= nearBest {
		near++
	}
	first, second := draw(random, near), draw(random, near)
	return few[min(first, second)], true
}

func draw(random *rand.Rand, n int) int {
	if random == nil {
		return rand.IntN(n)
	}
	return random.IntN(n)
}

// insert keeps the few best choices in ascending order of prediction and returns how many there are.
func insert[C Candidate](few *[bestFew]Choice[C], n int, choice Choice[C]) int {
	at := n
	for at > 0 && few[at-1].Predicted > choice.Predicted {
		at--
	}
	if at == bestFew {
		return n
	}
	n = min(n+1, bestFew)
	copy(few[at+1:n], few[at:n-1])
	few[at] = choice
	return n
}
