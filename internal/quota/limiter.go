package quota

import (
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

const (
	// fullReportAfter is how long after a grant reports are full. It is longer than the pause between two renewals.
	fullReportAfter = 1400 * time.Millisecond
	// recentDemand is how long after a request its account is named in reports, so that the loss of one does no harm.
	recentDemand = time.Second
	// maxOverdraft bounds the cost of a request that a full bucket admits, in multiples of the bucket's capacity.
	maxOverdraft = 4
	// lateDebtPart is the part of the permitted debt that is left while the holder does not renew its grants.
	lateDebtPart = 0.3
	// maxCosts bounds the cost of a request that is admitted beyond the permitted debt, in typical requests.
	maxCosts = 2
	// shareDelay is the usual time until a VM without a share of an account is given units.
	shareDelay = time.Second
	// maxWait bounds the wait that a refusal names.
	maxWait = time.Minute
	// spread is the part of the wait that is added at random, minSpread the least that may be added.
	spread    = 0.25
	minSpread = 200 * time.Millisecond
)

// Limiter admits the requests of client accounts at one VM, from what the VM may use of each quota. It is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// buckets holds the accounts that the process has seen. They are kept if an account is removed, because the units counted in
	// them would otherwise start over if it is added again.
	buckets map[string]*bucket
	// vms is the number of VMs that share the quotas, 0 if unknown.
	vms int
	// fence and number identify the newest grant, and grantedAt is when it arrived.
	fence     uint64
	number    uint64
	grantedAt time.Duration
	hasGrant  bool
	// expired is set once the newest grant expired.
	expired bool
}

// NewLimiter returns a limiter with empty buckets and without a grant.
func NewLimiter() *Limiter {
	return &Limiter{
		buckets: make(map[string]*bucket),
	}
}

// Take takes the cost of a request from an account's quota. If there is no room, it returns how long until there is, with a random
// part so that clients refused together don't return together.
func (l *Limiter) Take(account *catalog.Account, cost float64, now time.Duration) (wait time.Duration, ok bool) {
	if !account.Quota.Limited() {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.update(account, now)
	b.demand += cost
	b.demandAt = now
	if b.admits(cost, l.debtOf(b, now)) {
		b.used += cost
		return 0, true
	}
	b.refused++
	return b.wait(cost), false
}

// Return gives back the cost of a request that did not run.
func (l *Limiter) Return(account *catalog.Account, cost float64, now time.Duration) {
	if !account.Quota.Limited() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.update(account, now)
	b.used -= cost
	b.cut()
}

// Receive puts a grant in force unless a newer one has arrived, and reports whether it ended a time without a valid grant.
func (l *Limiter) Receive(g *Grant, accounts []catalog.Account, now time.Duration) (regained bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasGrant && !g.newerThan(l.fence, l.number) {
		return false
	}
	l.updateAll(accounts, now)
	regained = l.expired
	l.fence, l.number, l.grantedAt, l.hasGrant, l.expired = g.Fence, g.Number, now, true, false
	l.vms = g.VMs
	for _, b := range l.buckets {
		b.hasShare, b.debt = false, 0
	}
	for _, a := range g.Accounts {
		if b := l.buckets[a.Account]; b != nil {
			b.granted, b.hasShare, b.debt, b.credit = float64(a.Share), true, float64(a.Debt), a.Credit
		}
	}
	l.updateAll(accounts, now)
	return regained
}

// KnownVMs tells the limiter the number of VMs by the records of the lease. Once a grant has told it, only a larger number counts.
func (l *Limiter) KnownVMs(vms int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if vms > l.vms || !l.hasGrant && vms > 0 {
		l.vms = vms
	}
}

// VMs returns the number of VMs that share the quotas, 0 if it is unknown.
func (l *Limiter) VMs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms
}

// Expired reports whether the newest grant has just expired; it does so once for each time without a valid grant.
func (l *Limiter) Expired(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasGrant || l.expired || l.fresh(now, grantValidity) {
		return false
	}
	l.expired = true
	return true
}

// Report returns the report for the holder on the given accounts; nil if none of them has a limit.
func (l *Limiter) Report(accounts []catalog.Account, now time.Duration) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateAll(accounts, now)
	if !Limited(accounts) {
		return nil
	}
	r := &Report{
		Fence:  l.fence,
		Number: l.number,
		Full:   !l.fresh(now, fullReportAfter) || l.lacksShare(),
	}
	for i := range accounts {
		b := l.buckets[accounts[i].Name]
		if b == nil || !b.configured || !r.Full && b.demand == 0 && now-b.demandAt > recentDemand {
			continue
		}
		a := AccountReport{
			Account:  accounts[i].Name,
			Demand:   float32(b.demand),
			Used:     b.used,
			Refilled: b.refilled,
		}
		if r.Full {
			a.Credit, a.Share = b.credit, float32(b.share)
		}
		b.demand = 0
		r.Accounts = append(r.Accounts, a)
	}
	return r
}

// lacksShare reports whether the newest grant names not all accounts; the caller holds the lock.
func (l *Limiter) lacksShare() bool {
	for _, b := range l.buckets {
		if b.configured && !b.hasShare {
			return true
		}
	}
	return false
}

// Status describes the limiter for metrics.
type Status struct {
	// GrantAge is the age of the newest grant, negative if there is none.
	GrantAge time.Duration
	Accounts []AccountStatus
}

// AccountStatus describes one account: this VM's share of its quota and the number of requests refused so far.
type AccountStatus struct {
	Account string
	Share   float64
	Refused uint64
}

// Status returns the present state.
func (l *Limiter) Status(now time.Duration) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{
		GrantAge: -1,
	}
	if l.hasGrant {
		s.GrantAge = now - l.grantedAt
	}
	for name, b := range l.buckets {
		if !b.configured {
			continue
		}
		s.Accounts = append(s.Accounts, AccountStatus{
			Account: name,
			Share:   l.shareOf(b, now),
			Refused: b.refused,
		})
	}
	return s
}

// updateAll brings the buckets of all limited accounts up to date; the caller holds the lock.
func (l *Limiter) updateAll(accounts []catalog.Account, now time.Duration) {
	for _, b := range l.buckets {
		b.configured = false
	}
	for i := range accounts {
		if accounts[i].Quota.Limited() {
			l.update(&accounts[i], now).configured = true
		}
	}
}

// update puts the share and the quota of an account in force and, while this VM gets no grants, refills its bucket; the caller
// holds the lock. A new bucket is empty.
func (l *Limiter) update(account *catalog.Account, now time.Duration) *bucket {
	b := l.buckets[account.Name]
	if b == nil {
		b = &bucket{
			quota:     account.Quota,
			updatedAt: now,
			demandAt:  now - 2*recentDemand,
		}
		l.buckets[account.Name] = b
	}
	share, since := l.shareOf(b, now), b.updatedAt
	if l.hasGrant && b.hasShare {
		since = max(since, l.grantedAt+creditValidity)
	}
	if now > since {
		// The share may have changed in between, by an expiry: the smaller one counts.
		refill := min(b.share, share) * min(b.quota.Rate, account.Quota.Rate) * (now - since).Seconds()
		b.refilled += max(min(refill, share*room(account.Quota)-b.level()), 0)
	}
	b.updatedAt = max(b.updatedAt, now)
	b.share, b.quota = share, account.Quota
	b.cut()
	return b
}

// shareOf returns the share in force; the caller holds the lock.
func (l *Limiter) shareOf(b *bucket, now time.Duration) float64 {
	even := 0.0
	if l.vms > 0 {
		even = 1 / float64(l.vms)
	}
	switch {
	case !b.hasShare:
		return even
	case l.fresh(now, grantValidity):
		return b.granted
	case l.fresh(now, grantValidity+fallbackTime):
		return min(b.granted, even)
	default:
		return even
	}
}

// debtOf returns the debt that is permitted now; the caller holds the lock.
func (l *Limiter) debtOf(b *bucket, now time.Duration) float64 {
	switch {
	case l.fresh(now, creditValidity):
		return b.debt
	case l.fresh(now, debtValidity):
		return b.debt * lateDebtPart
	default:
		return 0
	}
}

// fresh reports whether the newest grant arrived within the given time; the caller holds the lock.
func (l *Limiter) fresh(now, within time.Duration) bool {
	return l.hasGrant && now-l.grantedAt < within
}
