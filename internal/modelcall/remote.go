package modelcall

import (
	"context"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// Remote is an entry VM of another failure domain to which calls can be forwarded.
type Remote interface {
	comparable
	// Predict returns the expected time to the first token there, including the network round trip.
	Predict(prefill int, now time.Time) (time.Duration, bool)
	// Generate forwards the call to the VM, which must not forward it again.
	Generate(ctx context.Context, call Call) (endpoint.Response, error)
	// Domain returns the failure domain of the VM.
	Domain() string
}

// Remotes returns the remotes that serve a model in groups, nearest first; each group is tried before the next.
type Remotes[R Remote] interface {
	Serving(model string) [][]R
}
