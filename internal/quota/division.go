package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

const (
	// creditTime is how much demand a VM's credit covers. A report, a grant and their delays take about a second.
	creditTime = 2 * time.Second
	// refillBelow is the part of its target below which a VM's credit is raised, and reclaimAbove the one above which it is lowered.
	refillBelow  = 0.6
	reclaimAbove = 1.5
	// creditPart is the part of all units that VMs are given as long as demand is within the quota, and freePart the part of them that
	// must be left for VMs to go into debt. Units are taken back at once if less than lowPart is left.
	creditPart = 0.35
	unusedPart = 0.25
	lowPart    = 0.3
	// hotPart is the part of all units that VMs are given at most while demand is beyond the quota.
	hotPart = 0.8
	// debtPart is the part of the overage that may be owed besides, and minDebtors the least number of VMs among which debts are
	// divided.
	debtPart   = 0.25
	minDebtors = 4
	// overbooking is how many times as much debt is permitted as can be paid back at once: few VMs have a rise of demand at a time.
	overbooking = 5
	// maxDebtPart is the part of all debt that one VM may have.
	maxDebtPart = 0.5
	// maxExcess bounds, in seconds of the rate, how far demand beyond the quota counts.
	maxExcess = 0.5
	// requestsAtLeast is the least target of a VM that has demand, in typical requests.
	requestsAtLeast = 1.5
	// recentPart is the part of a typical request above which smoothed demand counts as recent.
	recentPart = 0.1
)

// division divides the quotas of all accounts once.
type division struct {
	*Allocator
	all     []VM
	count   int
	elapsed time.Duration
	now     time.Duration
}

// holding is what a present VM has of an account.
type holding struct {
	vm      *vmState
	account *vmAccount
	// share and credit are the largest that may be in force, granted is the newest credit.
	share   float64
	credit  float64
	granted float64
	// level is the units that the VM has left, by the newest credit, and target is what it should have.
	level  float64
	target float64
	grant  AccountGrant
}

// divideAccount appends the grant of one account to the next grants of the present VMs.
func (d *division) divideAccount(account *catalog.Account) {
	q, name, even := account.Quota, account.Name, 1/float64(d.count)
	s := d.accounts[name]
	if s == nil {
		s = &accountState{}
		d.accounts[name] = s
	}
	budget := d.knownPart(name, even)
	s.supply += q.Rate * d.elapsed.Seconds() * budget
	pool, left, demand := s.supply, room(q), 0.0
	holdings := make([]*holding, 0, len(d.all))
	for _, vm := range d.all {
		v := d.vms[vm]
		if !v.reads {
			budget -= even
			continue
		}
		a := v.account(name, even)
		if !v.knows(name) {
			continue
		}
		if !a.counted {
			a.counted = true
			s.supply += v.charged(name, a)
			pool += v.charged(name, a)
		}
		share, credit := v.upper(name, even)
		if !v.present(d.now) {
			reserved := v.reserved(name, even, d.now)
			budget -= reserved
			share = max(share, reserved)
			a.assumed += reserved * q.Rate * d.elapsed.Seconds()
		}
		pool -= v.charged(name, a)
		demand += a.demand
		out := max(credit+a.refilled-a.used, 0)
		if !v.present(d.now) {
			// A VM by itself refills its bucket up to its share's capacity only.
			out = max(out, min(out+a.assumed, share*room(q)))
		}
		left -= out
		if !v.present(d.now) {
			a.demand = 0
			continue
		}
		a.smooth(q, d.elapsed)
		granted := v.inForce[len(v.inForce)-1].accounts[name].Credit
		holdings = append(holdings, &holding{
			vm:      v,
			account: a,
			share:   share,
			credit:  credit,
			granted: granted,
			level:   granted + a.refilled - a.used,
			grant:   AccountGrant{Account: name},
		})
	}
	if pool > left {
		s.supply -= pool - left
		pool = left
	}
	divideShares(holdings, max(budget, 0), q)
	within := s.withinQuota(demand, q, d.elapsed)
	pool = divideCredit(holdings, pool, within, q)
	if within {
		divideDebt(holdings, max(pool, unusedPart*s.demandLevel)+debtPart*overage(q), q)
	}
	for _, h := range holdings {
		h.vm.next = append(h.vm.next, h.grant)
	}
}

// withinQuota takes new demand into account and reports whether the account is within its quota.
func (s *accountState) withinQuota(demand float64, q catalog.Quota, elapsed time.Duration) bool {
	s.demandLevel = min(s.demandLevel+q.Rate*elapsed.Seconds(), room(q)) - demand
	s.demandLevel = max(s.demandLevel, -maxExcess*q.Rate)
	return s.demandLevel >= 0
}

// knownPart returns the part of a quota that is at the disposal of the VMs that are known, present or absent.
func (d *division) knownPart(account string, even float64) float64 {
	if d.recordedVMs == 0 {
		return 1
	}
	if d.now-d.startedAt < grantValidity+fallbackTime+lateGrant {
		// Grants of the earlier holder to VMs that are not known yet may be in force.
		brought := 0.0
		for _, vm := range d.all {
			share := d.vms[vm].account(account, even).brought
			if d.vms[vm].fresh {
				// A process that has just started reports no share until it learns N, and uses the even one from then on.
				share = max(share, even)
			}
			brought += share
		}
		return min(brought, 1)
	}
	if d.now-d.startedAt < absentTime {
		return max(1-even*float64(max(d.recordedVMs-len(d.names()), 0)), 0)
	}
	return 1
}

// divideCredit sets the credit of the grants and returns what is left of the pool, the units that no VM was given. The VMs that
// have the least in proportion to their targets come first, so that each that gets units gets enough for a request.
func divideCredit(holdings []*holding, pool float64, within bool, q catalog.Quota) float64 {
	setTargets(holdings, within, q)
	low, excess := pool < lowPart*room(q), typicalCost(q)/2
	if low {
		// Little is left, and many VMs may have a little each.
		excess /= 10
	}
	order := slices.Clone(holdings)
	slices.SortStableFunc(order, func(x, y *holding) int {
		return cmp.Compare(x.level/max(x.target, 1), y.level/max(y.target, 1))
	})
	for _, h := range order {
		h.grant.Credit = h.granted
		switch {
		case h.level < 0 || h.level < refillBelow*h.target:
			// What another grant has not taken back yet need not come from the pool.
			given := min(h.target-h.level, max(pool, 0)+h.credit-h.granted)
			if given > 0 {
				h.grant.Credit += given
				pool -= max(h.grant.Credit-h.credit, 0)
				h.vm.urgent = true
			}
		case h.level > reclaimAbove*h.target+excess:
			h.grant.Credit -= h.level - h.target
			h.vm.urgent = h.vm.urgent || low
		}
	}
	return pool
}

// divideDebt permits debts, half of them evenly to VMs with demand and as much to any other, half in proportion to demand. Debts cover
// the time until the holder answers a rise of demand, or a request at a VM that the account has just begun to use.
func divideDebt(holdings []*holding, total float64, q catalog.Quota) {
	demand, n := 0.0, 0
	for _, h := range holdings {
		demand += h.account.slow
		if h.account.slow > recentPart*typicalCost(q)/shareSmoothing.Seconds() {
			n++
		}
	}
	for _, h := range holdings {
		part := 1 / float64(max(n, minDebtors))
		if demand > 0 {
			part += h.account.slow / demand
		}
		h.grant.Debt = float32(total * min(overbooking*part/2, maxDebtPart))
	}
}

// setTargets sets the units that each VM should have left. While the account is within its quota, the targets are moderate, so that
// enough is left for VMs that the account begins to use. Otherwise only VMs with recent demand have targets, and each has enough for a
// request.
func setTargets(holdings []*holding, within bool, q catalog.Quota) {
	cost := typicalCost(q)
	total := 0.0
	for _, h := range holdings {
		h.target = h.account.fast * creditTime.Seconds()
		if within {
			h.target = max(h.account.slow, h.account.fast) * creditTime.Seconds()
		}
		total += h.target
	}
	limit := hotPart * room(q)
	if within {
		limit = creditPart * room(q)
	}
	scale := min(1, limit/max(total, 1e-9))
	for _, h := range holdings {
		h.target *= scale
	}
	if within {
		return
	}
	// If there is not enough for a request at each, the VMs with the most demand get it.
	order := slices.Clone(holdings)
	slices.SortStableFunc(order, func(x, y *holding) int { return cmp.Compare(y.account.fast, x.account.fast) })
	left := hotPart * room(q)
	for _, h := range order {
		if h.account.fast <= recentPart*cost/creditSmoothing.Seconds() || left < requestsAtLeast*cost {
			h.target = 0
			continue
		}
		h.target = max(h.target, requestsAtLeast*cost)
		left -= h.target
	}
}
