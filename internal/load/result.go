package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Result is what the callers of a run got.
type Result struct {
	mu    sync.Mutex
	kinds map[Kind]*kindResult
}

type kindResult struct {
	outcomes map[string]int
	attained int
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
}

func newResult() *Result {
	return &Result{
		kinds: make(map[Kind]*kindResult),
	}
}

func (r *Result) kind(k Kind) *kindResult {
	result, ok := r.kinds[k]
	if !ok {
		result = &kindResult{
			outcomes: make(map[string]int),
			first:    hdrhistogram.New(1, histogramMax, histogramDigits),
			between:  hdrhistogram.New(1, histogramMax, histogramDigits),
		}
		r.kinds[k] = result
	}
	return result
}

// observation is what one call got.
type observation struct {
	outcome string
	first   time.Duration
	between time.Duration
	tokens  int
}

func (r *Result) add(k Kind, o observation, objective configuration.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.kind(k)
	result.outcomes[o.outcome]++
	if o.outcome != answered {
		return
	}
	_ = result.first.RecordValue(o.first.Microseconds())
	if o.tokens > 1 {
		_ = result.between.RecordValue(o.between.Microseconds())
	}
	late := objective.FirstToken.Duration > 0 && o.first > objective.FirstToken.Duration
	slow := objective.BetweenTokens.Duration > 0 && o.between > objective.BetweenTokens.Duration
	if !late && !slow {
		result.attained++
	}
}

// Line is one kind of call in a summary; times are in milliseconds.
type Line struct {
	Kind       Kind
	Calls      int
	Attained   int
	Outcomes   map[string]int
	FirstP50   float64
	FirstP95   float64
	FirstP99   float64
	BetweenP50 float64
	BetweenP95 float64
	BetweenP99 float64
}

// Summary returns a line for each kind of call that was made.
func (r *Result) Summary() []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []Line
	for _, k := range []Kind{PeopleCall, BatchCall, IdempotentCall, KeyedCall} {
		result, ok := r.kinds[k]
		if !ok {
			continue
		}
		line := Line{
			Kind:       k,
			Attained:   result.attained,
			Outcomes:   result.outcomes,
			FirstP50:   millis(result.first, 50),
			FirstP95:   millis(result.first, 95),
			FirstP99:   millis(result.first, 99),
			BetweenP50: millis(result.between, 50),
			BetweenP95: millis(result.between, 95),
			BetweenP99: millis(result.between, 99),
		}
		for _, n := range result.outcomes {
			line.Calls += n
		}
		lines = append(lines, line)
	}
	return lines
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
