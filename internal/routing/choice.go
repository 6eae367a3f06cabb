package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// shortlistSize is the number of best candidates that a choice is made among.
	shortlistSize = 4
	// predictionTolerance is how much longer than the best a candidate's predicted time may be for it to be chosen.
	predictionTolerance = 20 * time.Millisecond
	// maxExamined is about the largest number of candidates that one choice examines.
	maxExamined = 64
)

// Choice is the candidate that gets a call and the expected time to its first token.
type Choice[C Candidate] struct {
	Candidate C
	Predicted time.Duration
}

// Choose returns one of the best candidates, or false if none can take the call. It takes the better of two that it draws
// at random, so that VMs that see the same old reports don't all choose the same endpoint.
func Choose[C Candidate](candidates []C, exclude C, prefill int, now time.Time, random *rand.Rand) (Choice[C], bool) {
	var shortlist [shortlistSize]Choice[C]
	n := 0
	step, i := 1, 0
	if len(candidates) > maxExamined {
		// With very many candidates, a random part of them is nearly as good as all.
		step = len(candidates) / maxExamined
		i = randomBelow(random, step)
	}
	for ; i < len(candidates); i += step {
		c := candidates[i]
		if c == exclude {
			continue
		}
		predicted, ok := c.Predict(prefill, now)
		if !ok {
			continue
		}
		n = insert(&shortlist, n, Choice[C]{
			Candidate: c,
			Predicted: predicted,
		})
	}
	if n == 0 {
		return Choice[C]{}, false
	}
	similar := 1
	for similar < n && shortlist[similar].Predicted-shortlist[0].Predicted <= predictionTolerance {
		similar++
	}
	first, second := randomBelow(random, similar), randomBelow(random, similar)
	return shortlist[min(first, second)], true
}

func randomBelow(random *rand.Rand, n int) int {
	if random == nil {
		return rand.IntN(n)
	}
	return random.IntN(n)
}

// insert adds a choice to the shortlist, which is sorted by prediction, and returns the new length of the list.
func insert[C Candidate](shortlist *[shortlistSize]Choice[C], n int, choice Choice[C]) int {
	i := n
	for i > 0 && shortlist[i-1].Predicted > choice.Predicted {
		i--
	}
	if i == shortlistSize {
		return n
	}
	n = min(n+1, shortlistSize)
	copy(shortlist[i+1:n], shortlist[i:n-1])
	shortlist[i] = choice
	return n
}
