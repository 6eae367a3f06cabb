package quota

import (
	"math"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

const (
	// presentTime is how long after its last report a VM counts as present; it is that of a link without frames.
	presentTime = 2 * time.Second
	// absentTime is how long an absent VM is counted.
	absentTime = time.Hour
	// lateGrant is how long after it was sent a grant may arrive, at most.
	lateGrant = 3 * time.Second
	// maxUnconfirmed bounds the number of unconfirmed grants that are remembered singly.
	maxUnconfirmed = 8
)

// VM identifies a run of a VM's process.
type VM struct {
	Name        string
	Incarnation string
}

// vmState is what the holder knows of a VM.
type vmState struct {
	// seenAt is when the last report arrived, sentAt is when the last grant was sent.
	seenAt  time.Duration
	sentAt  time.Duration
	leaving bool
	// reads is set if the VM reads grants, fresh if it had none when it was first heard of.
	reads bool
	fresh bool
	// inForce holds the grants that may be in force, in order.
	inForce  []inForce
	accounts map[string]*vmAccount
	next     []AccountGrant
	last     []AccountGrant
	// urgent is set if the next grant gives units that are needed.
	urgent bool
}

// inForce is the accounts of a grant; number is 0 for what a VM had before the first grant of this tenure.
type inForce struct {
	number   uint64
	accounts map[string]AccountGrant
}

// vmAccount is what the holder knows of an account at a VM.
type vmAccount struct {
	// brought is the share before the first grant of this tenure.
	brought float64
	// counted is set once the supply contains what the VM brought along.
	counted bool
	// used and refilled are as reported; assumed is what the VM may have refilled since its last report.
	used     float64
	refilled float64
	assumed  float64
	// demand is the units reported since the last allocation; slow and fast are smoothed demand in units per second.
	demand float64
	slow   float64
	fast   float64
}

func newVMState(now time.Duration) *vmState {
	return &vmState{
		seenAt:   now,
		sentAt:   -renewalInterval,
		accounts: make(map[string]*vmAccount),
	}
}

func (v *vmState) present(now time.Duration) bool { return v.reads && now-v.seenAt <= presentTime }

// account returns what is known of an account; the VM uses the even share of an account that it has not reported.
func (v *vmState) account(name string, even float64) *vmAccount {
	a := v.accounts[name]
	if a == nil {
		a = &vmAccount{brought: even}
		v.accounts[name] = a
	}
	return a
}

// record records a report.
func (v *vmState) record(r *Report, fence uint64, now time.Duration) {
	v.seenAt = now
	if r == nil {
		return
	}
	v.leaving = r.Leaving
	if !v.reads {
		if !r.Full {
			// What the VM brings along is told by its next full report.
			return
		}
		v.reads, v.fresh = true, r.Fence == 0
		v.inForce = []inForce{{accounts: make(map[string]AccountGrant)}}
	}
	if r.Fence == fence {
		v.confirm(r.Number)
	}
	for _, reported := range r.Accounts {
		a := v.account(reported.Account, float64(reported.Share))
		a.used = max(a.used, reported.Used)
		a.demand += float64(reported.Demand)
		if !r.Full {
			continue
		}
		if r.Fence != fence {
			// A VM that has just started may learn the number of VMs after its first report.
			a.brought = max(a.brought, float64(reported.Share))
		}
		a.refilled, a.assumed = max(a.refilled, reported.Refilled), 0
		// The VM may use a larger share than the granted one if no grant reached it for long.
		oldest, known := v.inForce[0].accounts[reported.Account]
		oldest.Share = max(oldest.Share, reported.Share)
		if !known {
			oldest.Credit = reported.Credit
		}
		v.inForce[0].accounts[reported.Account] = oldest
	}
}

// confirm drops the grants before the one that the VM reports.
func (v *vmState) confirm(number uint64) {
	for len(v.inForce) > 1 && v.inForce[1].number <= number {
		v.inForce = v.inForce[1:]
	}
}

// sent records a grant that was sent.
func (v *vmState) sent(g *Grant, now time.Duration) {
	v.sentAt = now
	v.last = g.Accounts
	accounts := make(map[string]AccountGrant, len(g.Accounts))
	for _, a := range g.Accounts {
		accounts[a.Account] = a
	}
	v.inForce = append(v.inForce, inForce{
		number:   g.Number,
		accounts: accounts,
	})
	if len(v.inForce) <= maxUnconfirmed {
		return
	}
	// The larger figures count, from the older to the newer of the two.
	for name, older := range v.inForce[0].accounts {
		merged := v.inForce[1].accounts[name]
		merged.Account = name
		merged.Share, merged.Credit = max(merged.Share, older.Share), max(merged.Credit, older.Credit)
		v.inForce[1].accounts[name] = merged
	}
	v.inForce = v.inForce[1:]
}

// due reports whether the next grant differs enough from the last one to be sent, or has to be renewed.
func (v *vmState) due(now time.Duration) bool {
	if v.urgent || now-v.sentAt >= renewalInterval || len(v.last) != len(v.next) {
		return true
	}
	for i, a := range v.next {
		old := v.last[i]
		change := math.Abs(float64(a.Share - old.Share))
		if a.Account != old.Account || (a.Debt > 0) != (old.Debt > 0) || change > changeRatio*float64(old.Share)+minChange {
			return true
		}
	}
	return false
}

// upper returns the largest share and credit of an account that may be in force at the VM.
func (v *vmState) upper(account string, even float64) (share, credit float64) {
	if len(v.inForce) == 0 {
		return even, 0
	}
	known := false
	for _, f := range v.inForce {
		a, ok := f.accounts[account]
		if !ok {
			// A VM uses the even share of an account that its grant does not name.
			share = max(share, even)
			continue
		}
		share = max(share, float64(a.Share))
		// The credit is negative if more was taken back than was given, of what the VM refilled itself.
		if !known || a.Credit > credit {
			credit = a.Credit
		}
		known = true
	}
	return share, credit
}

// knows reports whether the holder knows what the VM has of an account.
func (v *vmState) knows(account string) bool {
	for _, f := range v.inForce {
		if _, ok := f.accounts[account]; ok {
			return true
		}
	}
	return false
}

// charged returns the units that the VM may have been given or have refilled.
func (v *vmState) charged(account string, a *vmAccount) float64 {
	_, credit := v.upper(account, 0)
	return credit + a.refilled + a.assumed
}

// reserved returns the share that an absent VM may use.
func (v *vmState) reserved(account string, even float64, now time.Duration) float64 {
	if now-max(v.sentAt, v.seenAt) > grantValidity+fallbackTime {
		return even
	}
	share, _ := v.upper(account, even)
	return share
}

// smooth adds the newest demand to the smoothed figures. Before any demand was seen, the VM's share stands for it.
func (a *vmAccount) smooth(q catalog.Quota, elapsed time.Duration) {
	if a.slow == 0 && a.demand == 0 {
		a.slow = a.brought * q.Rate * initialDemand
	}
	average := func(old float64, over time.Duration) float64 {
		return old*math.Exp(-elapsed.Seconds()/over.Seconds()) + a.demand/over.Seconds()
	}
	a.slow, a.fast = average(a.slow, shareSmoothing), average(a.fast, creditSmoothing)
	a.demand = 0
}
