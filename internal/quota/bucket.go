package quota

import (
	"math/rand/v2"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// bucket is the token bucket of an account at one VM.
type bucket struct {
	quota catalog.Quota
	// configured is set if the account has a limit in the active configuration.
	configured bool
	// granted is the share by the newest grant, if hasShare is set, and debt the permitted debt.
	granted  float64
	hasShare bool
	debt     float64
	// share is the share in force since updatedAt.
	share     float64
	updatedAt time.Duration
	// credit, refilled and used count the units given, refilled here and admitted.
	credit   float64
	refilled float64
	used     float64
	// demand is the units requested since the last report, demandAt is when the last request arrived, refused counts requests.
	demand   float64
	demandAt time.Duration
	refused  uint64
}

// level returns the units in the bucket; it is negative while the VM is in debt.
func (b *bucket) level() float64 { return b.credit + b.refilled - b.used }

// capacity returns the level up to which the bucket is refilled by its share.
func (b *bucket) capacity() float64 { return b.share * room(b.quota) }

// cut drops units beyond the capacity of all buckets together, which may have become smaller.
func (b *bucket) cut() { b.used += max(b.level()-room(b.quota), 0) }

// admits reports whether a request is admitted, given the debt that is permitted now.
func (b *bucket) admits(cost, debt float64) bool {
	level := b.level()
	if level >= cost || debt > 0 && level > max(-debt, cost-debt-maxCosts*typicalCost(b.quota)) {
		return true
	}
	return b.overdraws(cost) && level >= b.capacity()
}

// overdraws reports whether a full bucket admits a request that is larger than its capacity. Without limits, a quota that many VMs
// share would be exceeded by one request for each VM.
func (b *bucket) overdraws(cost float64) bool {
	capacity := b.capacity()
	return capacity > 0 && cost > capacity && (cost <= maxOverdraft*capacity || b.share >= 1.0/maxOverdraft)
}

// wait returns how long until a request of the given cost is admitted.
func (b *bucket) wait(cost float64) time.Duration {
	wait := shareDelay
	if capacity := b.capacity(); capacity >= cost || b.overdraws(cost) {
		seconds := max(min(cost, capacity)-b.level(), 0) / (b.share * b.quota.Rate)
		wait = time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
	}
	return min(wait+rand.N(minSpread+time.Duration(spread*float64(wait))), maxWait)
}
