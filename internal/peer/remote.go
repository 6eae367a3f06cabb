package peer

import (
	"context"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/modelcall"
)

// Remote is a peer as the destination of calls to one model.
type Remote struct {
	link  *Link
	model string
}

// Predict implements modelcall.Remote.
func (r Remote) Predict(int, time.Time) (time.Duration, bool) { return r.link.predict(r.model) }

// Domain implements modelcall.Remote.
func (r Remote) Domain() string { return r.link.Domain() }

// Generate implements modelcall.Remote.
func (r Remote) Generate(ctx context.Context, call modelcall.Call) (endpoint.Response, error) {
	return r.link.generate(ctx, call)
}
