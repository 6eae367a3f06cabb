package dispatch

import (
	"errors"
	"log/slog"
	"net/http"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// refuse sends an error response to the caller.
func (c *call) refuse(refused *refusal.Refusal) {
	c.status = refused.Status
	c.reason = string(refused.Code)
	c.outcome = Refused
	if refused.Status >= http.StatusInternalServerError && refused.Status != http.StatusServiceUnavailable {
		c.outcome = Failed
	}
	c.caller.Refuse(refused)
}

// record logs and counts how the request ended.
func (c *call) record() {
	now := c.d.Clock.Now()
	attrs := []slog.Attr{
		slog.String("Request", c.request.ID),
		slog.String("Outcome", string(c.outcome)),
		slog.Int("Status", c.status),
		slog.Uint64("Version", c.version),
		slog.String("Model", c.request.Model),
		slog.String("Adapter", c.request.Adapter),
		slog.String("Runner", c.runner),
		slog.Int("Sends", c.attempts),
		slog.Int("Delivered", c.delivered),
		slog.Int64("TookMS", now.Sub(c.request.Arrived).Milliseconds()),
		slog.Int64("LeftMS", c.request.MaxWait.Milliseconds()),
	}
	route := ""
	if c.route != nil {
		route = c.route.Name
		attrs = append(attrs, slog.String("Route", route), slog.String("Service", c.service.Name))
	}
	if !c.firstByteAt.IsZero() {
		attrs = append(attrs, slog.Int64("FirstMS", c.firstByteAt.Sub(c.request.Arrived).Milliseconds()),
			slog.Int64("PauseMS", c.longestGap.Milliseconds()))
	}
	attrs = append(attrs,
		slog.Int("Holders", c.pick.withModel),
		slog.Int("Ready", c.pick.ready),
		slog.Int("Occupied", c.pick.inFlight),
		slog.Int64("LoadAgeMS", c.pick.loadAge.Milliseconds()),
		slog.Int64("ScoreMS", c.pick.score.Milliseconds()),
	)
	if c.request.ResumeAfter != "" {
		attrs = append(attrs, slog.String("Resumes", c.request.Resumes), slog.String("ResumeAfter", c.request.ResumeAfter))
	}
	if c.release != nil {
		attrs = append(attrs, slog.String("Release", *c.release))
	}
	if c.account != nil {
		attrs = append(attrs, slog.String("Account", c.account.Name))
	}
	if c.lastEventID != "" {
		attrs = append(attrs, slog.String("LastEvent", c.lastEventID))
	}
	if c.proxy != "" {
		attrs = append(attrs, slog.String("Proxy", c.proxy))
	}
	if c.request.Proxied != nil {
		attrs = append(attrs, slog.String("ProxiedFor", c.request.Proxied.VM))
	}
	if c.pick.pace > 0 {
		attrs = append(attrs, slog.Int("Pace", c.pick.pace))
	}
	attrs = append(attrs, c.shedAttributes()...)
	if c.reason != "" {
		attrs = append(attrs, slog.String("Reason", c.reason))
	}
	c.endEvent().Log(c.d.Logger, attrs...)
	if c.request.Proxied == nil {
		c.d.Metrics.requestEnded(c, now)
	}
}

func (c *call) endEvent() event.Event {
	switch c.outcome {
	case Answered:
		return event.CallAnswered
	case Refused:
		return event.CallRefused
	case Aborted:
		return event.CallAborted
	case Left:
		return event.CallerLeft
	default:
		return event.CallFailed
	}
}

func (c *call) recordSendFailure(pick choice, err error) {
	event.SendFailed.Log(c.d.Logger,
		slog.String("Request", c.request.ID),
		slog.String("Runner", pick.runner.ID),
		slog.String("Address", pick.runner.Address),
		slog.Int("Sends", c.attempts),
		slog.Uint64("Heartbeat", pick.runner.Heartbeat),
		slog.Bool("Canceled", errors.Is(err, errSilent)),
		slog.String("LastEvent", c.lastEventID),
		slog.Int("Delivered", c.delivered),
		event.Error(err))
	c.d.Metrics.sendFailed(c.service.Name)
}

func (c *call) recordResume(pick choice) {
	event.StreamResumed.Log(c.d.Logger,
		slog.String("Request", c.request.ID),
		slog.String("Runner", pick.runner.ID),
		slog.String("After", c.lastEventID))
	c.d.Metrics.streamResumed(c.service.Name)
}

// recordRunner notes the runner whose response is to be passed on.
func (c *call) recordRunner(a *attempt) {
	c.pick = a.pick
	c.runner = a.pick.runner.ID
}
