package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// Range and precision of the latency histograms, which record microseconds.
const (
	maxMicroseconds   = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Result collects the outcomes and latencies of a run.
type Result struct {
	mu    sync.Mutex
	kinds map[Kind]*kindResult
}

type kindResult struct {
	outcomes map[string]int
	// attained counts the answers that met their latency objective.
	attained      int
	firstToken    *hdrhistogram.Histogram
	tokenInterval *hdrhistogram.Histogram
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
			outcomes:      make(map[string]int),
			firstToken:    hdrhistogram.New(1, maxMicroseconds, significantDigits),
			tokenInterval: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		}
		r.kinds[k] = result
	}
	return result
}

// observation is the outcome and latency of one call. For a plain call, firstToken is the time to the whole answer.
type observation struct {
	outcome       string
	firstToken    time.Duration
	tokenInterval time.Duration
	tokens        int
}

func (r *Result) add(k Kind, o observation, objective configuration.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.kind(k)
	result.outcomes[o.outcome]++
	if o.outcome != outcomeAnswered {
		return
	}
	_ = result.firstToken.RecordValue(o.firstToken.Microseconds())
	if o.tokens > 1 {
		_ = result.tokenInterval.RecordValue(o.tokenInterval.Microseconds())
	}
	late := objective.FirstToken.Duration > 0 && o.firstToken > objective.FirstToken.Duration
	slow := objective.BetweenTokens.Duration > 0 && o.tokenInterval > objective.BetweenTokens.Duration
	if !late && !slow {
		result.attained++
	}
}

// KindSummary summarizes the calls of one kind; times are in milliseconds.
type KindSummary struct {
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

// Summary returns a line for each kind that has calls.
func (r *Result) Summary() []KindSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	var summaries []KindSummary
	for _, k := range []Kind{InteractiveCall, BatchCall, IdempotentCall, KeyedCall} {
		result, ok := r.kinds[k]
		if !ok {
			continue
		}
		kindSummary := KindSummary{
			Kind:       k,
			Attained:   result.attained,
			Outcomes:   result.outcomes,
			FirstP50:   percentileMillis(result.firstToken, 50),
			FirstP95:   percentileMillis(result.firstToken, 95),
			FirstP99:   percentileMillis(result.firstToken, 99),
			BetweenP50: percentileMillis(result.tokenInterval, 50),
			BetweenP95: percentileMillis(result.tokenInterval, 95),
			BetweenP99: percentileMillis(result.tokenInterval, 99),
		}
		for _, n := range result.outcomes {
			kindSummary.Calls += n
		}
		summaries = append(summaries, kindSummary)
	}
	return summaries
}

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
