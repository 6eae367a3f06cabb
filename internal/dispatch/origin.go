package dispatch

import (
	"context"
	"net/http"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/origin"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Origins knows which release of the runners' software began a stream.
type Origins interface {
	// RecordStart records that a runner sends the first event of the stream of a request to its caller.
	RecordStart(requestID string, runner *roster.Runner)
	// Lookup returns the release that began the stream of a request. It may wait for a short time.
	Lookup(ctx context.Context, service, requestID string) origin.Origin
}

// noOrigins is an Origins that knows of one release only.
type noOrigins struct{}

// RecordStart implements Origins.
func (noOrigins) RecordStart(string, *roster.Runner) {}

// Lookup implements Origins.
func (noOrigins) Lookup(context.Context, string, string) origin.Origin {
	return origin.Origin{Single: true}
}

// findRelease finds the release at which a stream that the caller takes up may go on. A stream of an unknown release is refused, because
// runners of another one would go on with it as if it were theirs.
func (c *call) findRelease(ctx context.Context) *refusal.Refusal {
	if c.releaseSought || c.release != nil || c.request.ResumeAfter == "" || !c.resumable() {
		return nil
	}
	c.releaseSought = true
	found := c.d.Origins.Lookup(ctx, c.service.Name, c.request.Resumes)
	switch {
	case found.Single:
		if found.Known {
			c.onlyRelease = &found.Release
		}
		return nil
	case found.Known:
		c.release = &found.Release
		return nil
	default:
		return refusal.New(http.StatusServiceUnavailable, refusal.ReleaseUnknown,
			"it is not known which release of the runners began the stream")
	}
}

// bindRelease has the stream go on at the release of the runner that sends its first event.
func (c *call) bindRelease(a *attempt) {
	if c.release != nil || !c.resumable() || !c.streams(a.response) {
		return
	}
	runner := a.pick.runner
	if answered := a.response.Proxy; answered != nil {
		runner = &roster.Runner{
			ID:      answered.Runner,
			Service: c.service.Name,
			Release: answered.Release,
		}
	}
	c.release = &runner.Release
	id := c.request.ID
	if c.request.ResumeAfter != "" && c.request.Resumes != "" {
		id = c.request.Resumes
	}
	c.d.Origins.RecordStart(id, runner)
}

func (c *call) resumable() bool { return c.route.Kind == catalog.Streaming && c.route.Resumable }
