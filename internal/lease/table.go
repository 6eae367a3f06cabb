package lease

import (
	"maps"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// Table is the immutable set of leases in a stream. Its methods compare expiry with the time of the record that they are
// given, never with a local clock.
type Table struct {
	leases map[string]Lease
}

// Lease returns the latest lease of a shard, which may have expired.
func (t Table) Lease(shard string) (Lease, bool) {
	l, ok := t.leases[shard]
	return l, ok
}

// Valid reports whether the lease with the given fence is the current one of a shard and has not expired at a time.
func (t Table) Valid(shard string, fence logservice.Offset, at time.Time) bool {
	l, ok := t.leases[shard]
	return ok && l.Fence == fence && at.Before(l.Expires)
}

// All returns the latest lease of every shard, including expired ones.
func (t Table) All() []Lease {
	out := make([]Lease, 0, len(t.leases))
	for _, l := range t.leases {
		out = append(out, l)
	}
	return out
}

// FromLeases returns a table with the given leases.
func FromLeases(leases []Lease) Table {
	t := Table{
		leases: make(map[string]Lease, len(leases)),
	}
	for _, l := range leases {
		t.leases[l.Shard] = l
	}
	return t
}

// WithClaim returns the table after a claim. The first claim after the expiry or release of a lease is granted; a claim
// during a lease is ignored.
func (t Table) WithClaim(c Claim, offset logservice.Offset, at time.Time) Table {
	if held, ok := t.leases[c.Shard]; ok && at.Before(held.Expires) {
		return t
	}
	term := min(c.Term, MaxTerm)
	return t.with(Lease{
		Shard:   c.Shard,
		Holder:  c.Holder,
		VM:      c.VM,
		Fence:   offset,
		Term:    term,
		Expires: at.Add(term),
	})
}

// WithRenewal returns the table after a renewal; an expired lease is not extended.
func (t Table) WithRenewal(r Renewal, at time.Time) Table {
	for _, shard := range r.Shards {
		l, ok := t.leases[shard]
		if !ok || l.Holder != r.Holder || !at.Before(l.Expires) {
			continue
		}
		l.Expires = at.Add(l.Term)
		t = t.with(l)
	}
	return t
}

// WithRelease returns the table after a release; leases of other holders and expired ones are unchanged.
func (t Table) WithRelease(r Release, at time.Time) Table {
	for _, shard := range r.Shards {
		l, ok := t.leases[shard]
		if !ok || l.Holder != r.Holder || !at.Before(l.Expires) {
			continue
		}
		l.Expires = at
		t = t.with(l)
	}
	return t
}

func (t Table) with(l Lease) Table {
	leases := maps.Clone(t.leases)
	if leases == nil {
		leases = make(map[string]Lease)
	}
	leases[l.Shard] = l
	return Table{leases: leases}
}
