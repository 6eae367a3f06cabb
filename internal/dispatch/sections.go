package dispatch

import (
	"errors"
	"io"
	"net/http"
	"syscall"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// quarantineRefusal returns the refusal of a request whose prompt has a section in quarantine, or nil. The caller is asked to come
// back as late as it can, because the quarantine may end.
func (c *call) quarantineRefusal() *refusal.Refusal {
	if c.service.Engine == nil {
		return nil
	}
	id, quarantined := c.d.Guard.Quarantined(c.request.PromptSections)
	if !quarantined {
		return nil
	}
	message := "section " + id + " of the prompt crashes runners"
	if c.mayHaveRun {
		return refusal.New(http.StatusBadGateway, refusal.QuarantinedPrompt, message).WithRan(refusal.Unknown)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.QuarantinedPrompt, message).
		WithRetryAfter(c.retryAfter(c.deadline.Sub(c.d.Clock.Now())))
}

// suspected reports whether the request may be the one that crashes runners, so that it is not to be sent to a second one. One
// whose answer showed its prompt to be sound is not.
func (c *call) suspected() bool {
	return c.service.Engine != nil && !c.sound && c.d.Guard.Suspected(c.request.PromptSections)
}

// barred reports whether the request must not be sent to a second runner.
func (c *call) barred() bool { return c.suspected() || c.quarantineRefusal() != nil }

// recordStrike records that the connection to a runner broke off.
func (c *call) recordStrike(a *attempt, err error) {
	if c.service.Engine != nil && !a.pick.proxied && brokenOff(err) {
		c.d.Guard.RecordStrike(a.pick.runner, c.request.PromptSections, a.progress, a.lastUpdate)
	}
}

// recordProgress records how far a runner has got with an answer, if that says more of the prompt than before.
func (c *call) recordProgress(a *attempt, p quarantine.Progress) {
	before := a.progress
	a.progress = p
	if c.service.Engine == nil || !a.response.successful() || (before.Begun() == p.Begun() && before.Sound() == p.Sound()) {
		return
	}
	c.sound = c.sound || p.Sound()
	if a.pick.proxied {
		return
	}
	c.d.Guard.RecordAnswer(c.request.PromptSections, p)
}

// recordEnd records that the end of an answer has arrived. Where nothing marks the end, the runner may have crashed.
func (c *call) recordEnd(a *attempt) {
	if !a.response.EndUnmarked {
		c.recordProgress(a, a.progress.WithEnd(a.lastUpdate))
		return
	}
	c.recordProgress(a, a.progress.WithData(a.lastUpdate))
	if c.service.Engine != nil && a.response.successful() && !a.pick.proxied {
		c.d.Guard.RecordUnmarkedEnd(a.pick.runner, c.request.PromptSections, a.progress, a.lastUpdate)
	}
}

// brokenOff reports whether an attempt failed because the other side ended the connection.
func brokenOff(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNREFUSED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
