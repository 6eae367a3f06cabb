package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/cluster"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// listTTL is how long the lease holder's list counts without a newer one.
	listTTL = 30 * time.Second
	// emptyListTTL is the same for an empty list, which comes again each second as long as it holds.
	emptyListTTL = 3 * time.Second
	// viewInterval is how long a view is kept.
	viewInterval = 100 * time.Millisecond
	// slots is how many requests at once a VM is expected to take from this one.
	slots = 64
)

// Sources tells a Directory which VMs there are.
type Sources struct {
	// Name is the name of this VM.
	Name       string
	HoldsLease func() bool
	// Linked returns the VMs that reach the runners, as this VM knows them while it holds the lease.
	Linked func() []cluster.Member
	// Members returns VMs that the lease holder named in its heartbeats.
	Members func() []cluster.Member
}

// Directory knows the VMs through which this one may send requests; it is safe for concurrent use.
type Directory struct {
	sources Sources
	clock   clockwork.Clock

	mu       sync.Mutex
	listed   []cluster.Member
	listedAt time.Time
	view     *roster.View
	viewedAt time.Time
}

// NewDirectory returns a directory without a list.
func NewDirectory(sources Sources, clock clockwork.Clock) *Directory {
	return &Directory{
		sources: sources,
		clock:   clock,
	}
}

// Receive handles the lease holder's list of VMs that reach the runners, which may be empty.
func (d *Directory) Receive(vms []cluster.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed, d.listedAt, d.view = vms, d.clock.Now(), nil
}

// VMs returns the VMs that take requests of this one, as endpoints of dispatch.ProxyService.
func (d *Directory) VMs() *roster.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if d.view == nil || now.Sub(d.viewedAt) >= viewInterval {
		d.view, d.viewedAt = newView(d.members(now), now), now
	}
	return d.view
}

// members returns the VMs of the best source; the caller holds the lock.
func (d *Directory) members(now time.Time) []cluster.Member {
	if d.sources.HoldsLease() {
		if linked := d.sources.Linked(); len(linked) > 0 {
			// After it has given up the lease, this VM goes on with them until the next holder sends a list.
			d.listed, d.listedAt = linked, now
			return linked
		}
	}
	ttl := listTTL
	if len(d.listed) == 0 {
		ttl = emptyListTTL
	}
	if !d.listedAt.IsZero() && now.Sub(d.listedAt) < ttl {
		return d.listed
	}
	return slices.DeleteFunc(slices.Clone(d.sources.Members()), func(m cluster.Member) bool {
		return !m.TakesProxied || m.Name == d.sources.Name
	})
}

func newView(members []cluster.Member, now time.Time) *roster.View {
	endpoints := make([]*roster.Runner, 0, len(members))
	for _, m := range members {
		endpoints = append(endpoints, &roster.Runner{
			ID:            m.Name + "/" + m.Incarnation,
			Service:       dispatch.ProxyService,
			Address:       m.Address,
			FailureDomain: m.FailureDomain,
			Slots:         slots,
		})
	}
	vms := roster.New()
	vms.Replace(endpoints, now)
	return vms.View()
}
