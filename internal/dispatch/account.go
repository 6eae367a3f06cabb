package dispatch

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/patience"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const (
	// maxStatedTokens bounds each of the two numbers of tokens that a request states, so that their sum can't overflow; no model has
	// as many.
	maxStatedTokens = 1 << 30
	// minQuotaWait is the least wait after a refusal for the quota; a response without Retry-After would ask for an immediate retry.
	minQuotaWait = 10 * time.Millisecond
)

// identify finds the account of the request and its rank. It refuses a key that is unknown, and a request without one where one is
// needed.
func (c *call) identify(current *catalog.Catalog) *refusal.Refusal {
	c.accountsConfigured = current.HasAccounts()
	if proxied := c.request.Proxied; proxied != nil && proxied.Account != "" {
		account, known := current.AccountNamed(proxied.Account)
		if !known {
			return refusal.New(http.StatusUnauthorized, refusal.UnknownAccount, "the account is unknown")
		}
		c.account = account
	} else if key := c.request.Identity.Key; c.accountsConfigured && !key.IsZero() {
		account, known := current.Account(key)
		if !known {
			return refusal.New(http.StatusUnauthorized, refusal.UnknownAccount, "the API key is unknown")
		}
		c.account = account
	}
	if c.accountsConfigured && c.account == nil && !c.route.AllowAnonymous {
		return refusal.New(http.StatusUnauthorized, refusal.UnknownAccount, "an API key is required")
	}
	c.rank = current.Rank(c.route, c.account)
	return nil
}

// takeQuota takes the request's cost from the quota of its account.
func (c *call) takeQuota() *refusal.Refusal {
	if c.account == nil || !c.account.Quota.Limited() || c.request.Proxied != nil {
		return nil
	}
	cost := c.account.Quota.Cost(statedTokens(c.request))
	wait, ok := c.d.Quotas.Take(c.account, cost)
	if !ok {
		return refusal.New(http.StatusTooManyRequests, refusal.OverQuota, "the quota of the account is exhausted").
			WithRetryAfter(patience.RetryAfterWait(max(wait, minQuotaWait), rand.Float64()))
	}
	c.quotaTaken, c.cost = true, cost
	return nil
}

// returnQuota gives the request's cost back if the request certainly did not run.
func (c *call) returnQuota() {
	if c.quotaTaken && !c.mayHaveRun {
		c.d.Quotas.Return(c.account, c.cost)
	}
}

// statedTokens returns the sum of the numbers of tokens that a request states, 0 if it states none. A negative number would make a
// request cheaper than it is and counts as 0.
func statedTokens(r *Request) int {
	bounded := func(n int) int { return min(max(n, 0), maxStatedTokens) }
	return bounded(r.PromptTokens) + bounded(r.MaxTokens)
}

// accountName returns the name of the request's account, or "" if it has none.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}
