package dispatch

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// QuotaLimiter keeps the requests of client accounts within their quotas, which count the requests of all VMs.
type QuotaLimiter interface {
	// Take takes the cost of a request from the quota of its account. If there is no room, it returns how long until there is.
	Take(account *catalog.Account, cost float64) (wait time.Duration, ok bool)
	// Return gives back the cost of a request that did not run.
	Return(account *catalog.Account, cost float64)
}

// noQuota admits every request.
type noQuota struct{}

// Take implements QuotaLimiter.
func (noQuota) Take(*catalog.Account, float64) (time.Duration, bool) { return 0, true }

// Return implements QuotaLimiter.
func (noQuota) Return(*catalog.Account, float64) {}
