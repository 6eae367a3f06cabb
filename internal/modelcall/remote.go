package modelcall

import (
	"context"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// Remote is an entry VM of another failure domain that can take a call.
type Remote interface {
	comparable
	// Predict returns the expected time to the first token there, crossing included.
	Predict(prefill int, now time.Time) (time.Duration, bool)
	// Generate sends the call there, one hop and no further.
	Generate(ctx context.Context, call Call) (endpoint.Answer, error)
	// Domain returns the failure domain of the VM.
	Domain() string
}

// Neighbours knows which remotes serve a model, nearest first: each group is tried before the next.
type Neighbours[R Remote] interface {
	Serving(model string) [][]R
}
