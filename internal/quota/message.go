package quota

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

const (
	// creditValidity is how long after its arrival a grant's credit replaces the refill by the share; several renewals.
	creditValidity = 1500 * time.Millisecond
	// debtValidity is how long after its arrival a grant permits debts. It covers the usual time until another VM has taken over the
	// lease; what the former holder had not given to any VM is not used then.
	debtValidity = 5 * time.Second
	// grantValidity is how long the share of a grant is in force after its arrival. It is longer than usual partitions, in which
	// the clients of a VM stay with it: with the even share, VMs that were cut off refused about half of what their clients sent within
	// the quotas.
	grantValidity = 20 * time.Second
	// fallbackTime is how long after that a VM uses the smaller of the granted and the even share.
	fallbackTime = 5 * time.Second
	// renewalInterval is the pause between two grants to a VM for which nothing changes.
	renewalInterval = 500 * time.Millisecond
	// window is the time in which the units admitted are bounded, in seconds.
	window = 8
	// rateReserve and tokenReserve are the parts of the permitted overage that extend the burst, so that several VMs have room for
	// requests of a small account. The rest of the overage, 0.1 of the window's units and 7,500 tokens, is left for debts.
	rateReserve  = 0.04
	tokenReserve = 2000
	// minTypicalTokens is the least cost that is assumed for a typical request that counts tokens.
	minTypicalTokens = 500
)

// AccountGrant is what a VM may use of an account's quota.
type AccountGrant struct {
	Account string `cbor:"A"`
	// Share is the share, from 0 to 1, at which the VM refills its bucket by itself while it gets no grants.
	Share float32 `cbor:"S,omitempty"`
	// Credit is the units that the VM was given since its process started, besides those that it refilled itself.
	Credit float64 `cbor:"C,omitempty"`
	// Debt is how many units below zero the VM may have before it refuses requests. It is positive while the account is within its
	// quota and units are left that no VM was given.
	Debt float32 `cbor:"D,omitempty"`
}

// Grant is what the lease holder grants a VM.
type Grant struct {
	// Fence is the fencing token of the holder's lease; Number increases with each grant of a tenure.
	Fence  uint64 `cbor:"F"`
	Number uint64 `cbor:"N"`
	// VMs is the number of VMs that share the quotas, present or absent.
	VMs      int            `cbor:"V"`
	Accounts []AccountGrant `cbor:"A"`
}

// newerThan reports whether the grant follows one with the given fencing token and number.
func (g *Grant) newerThan(fence, number uint64) bool {
	return g.Fence > fence || g.Fence == fence && g.Number > number
}

// AccountReport is what a VM reports on an account.
type AccountReport struct {
	Account string `cbor:"A"`
	// Demand is the units requested since the last report, refused ones included.
	Demand float32 `cbor:"D,omitempty"`
	// Used and Refilled are the units admitted, and those that the VM refilled itself, since its process started.
	Used     float64 `cbor:"U,omitempty"`
	Refilled float64 `cbor:"R,omitempty"`
	// Credit and Share are those in force; they are sent in full reports only.
	Credit float64 `cbor:"C,omitempty"`
	Share  float32 `cbor:"S,omitempty"`
}

// Report is what a VM reports to the lease holder.
type Report struct {
	// Fence and Number identify the newest grant received, 0 if there is none.
	Fence  uint64 `cbor:"F,omitempty"`
	Number uint64 `cbor:"N,omitempty"`
	// Full is set if the report names all accounts. Reports that follow a recent grant name those with recent demand only.
	Full     bool            `cbor:"L,omitempty"`
	Accounts []AccountReport `cbor:"A,omitempty"`
	// Leaving is set while the VM stops in a planned way.
	Leaving bool `cbor:"G,omitempty"`
}

// typicalCost estimates the units of one request.
func typicalCost(q catalog.Quota) float64 {
	if q.CountsTokens {
		return max(q.PlainTokens, minTypicalTokens)
	}
	return 1
}

// room is the capacity of all buckets of a quota together.
func room(q catalog.Quota) float64 {
	r := q.Burst + rateReserve*(window*q.Rate+q.Burst)
	if q.CountsTokens {
		r += tokenReserve
	}
	return r
}

// overage is what may be admitted in a window beyond the rate and the room.
func overage(q catalog.Quota) float64 {
	o := (0.1 - rateReserve) * (window*q.Rate + q.Burst)
	if q.CountsTokens {
		o += 7500 - tokenReserve
	}
	return o
}

// Limited reports whether an account has a limit.
func Limited(accounts []catalog.Account) bool {
	for i := range accounts {
		if accounts[i].Quota.Limited() {
			return true
		}
	}
	return false
}
