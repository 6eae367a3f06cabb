package serving

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cowsliparch/cowsliparch/internal/boottime"
	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/quota"
)

// quotas keeps client accounts within their quotas; as the lease holder, it also divides the quotas among all VMs.
type quotas struct {
	limiter   *quota.Limiter
	allocator *quota.Allocator
	bootClock boottime.Clock
	// accounts returns the accounts of the active configuration.
	accounts func() []catalog.Account
}

func newQuotas(bootClock boottime.Clock, accounts func() []catalog.Account) *quotas {
	return &quotas{
		limiter:   quota.NewLimiter(),
		allocator: quota.NewAllocator(),
		bootClock: bootClock,
		accounts:  accounts,
	}
}

// Take implements dispatch.QuotaLimiter.
func (q *quotas) Take(account *catalog.Account, cost float64) (wait time.Duration, ok bool) {
	if !account.Quota.Limited() {
		return 0, true
	}
	return q.limiter.Take(account, cost, q.bootClock.Elapsed())
}

// Return implements dispatch.QuotaLimiter.
func (q *quotas) Return(account *catalog.Account, cost float64) {
	if account.Quota.Limited() {
		q.limiter.Return(account, cost, q.bootClock.Elapsed())
	}
}

var (
	quotaRefused = prometheus.NewDesc("cowsliparch_quota_refused_total",
		"Requests refused because their account's quota was exhausted.", []string{"account"}, nil)
	quotaShare = prometheus.NewDesc("cowsliparch_quota_share",
		"This VM's share of the account's quota.", []string{"account"}, nil)
	quotaGrantAge = prometheus.NewDesc("cowsliparch_quota_grant_age_seconds",
		"Time since the lease holder's last grant of shares.", nil, nil)
)

// Describe implements prometheus.Collector.
func (q *quotas) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- quotaRefused
	descriptions <- quotaShare
	descriptions <- quotaGrantAge
}

// Collect implements prometheus.Collector.
func (q *quotas) Collect(metrics chan<- prometheus.Metric) {
	status := q.limiter.Status(q.bootClock.Elapsed())
	if status.GrantAge >= 0 {
		metrics <- prometheus.MustNewConstMetric(quotaGrantAge, prometheus.GaugeValue, status.GrantAge.Seconds())
	}
	for _, a := range status.Accounts {
		metrics <- prometheus.MustNewConstMetric(quotaRefused, prometheus.CounterValue, float64(a.Refused), a.Account)
		metrics <- prometheus.MustNewConstMetric(quotaShare, prometheus.GaugeValue, a.Share, a.Account)
	}
}

// QuotaReport implements cluster.LocalVM.
func (s *Server) QuotaReport() *quota.Report {
	r := s.quotas.limiter.Report(s.quotas.accounts(), s.BootClock.Elapsed())
	if r != nil {
		r.Leaving = s.Stopping()
	}
	return r
}

// ReceiveQuotaReport implements cluster.LocalVM.
func (s *Server) ReceiveQuotaReport(vm quota.VM, r *quota.Report) {
	if s.startQuotas() {
		s.quotas.allocator.Record(vm, r, s.BootClock.Elapsed())
	}
}

// startQuotas begins to divide the quotas if this VM holds the lease and an account has a quota, and reports whether that is so.
func (s *Server) startQuotas() bool {
	fence := s.HeldFence()
	if fence == 0 || !quota.Limited(s.quotas.accounts()) {
		return false
	}
	s.quotas.allocator.Start(fence, s.lease.RecordedVMs(), s.BootClock.Elapsed())
	return true
}

// QuotaGrants implements cluster.LocalVM. A grant to this VM itself is put in force here.
func (s *Server) QuotaGrants() []quota.Outgoing {
	if !s.startQuotas() {
		return nil
	}
	now := s.BootClock.Elapsed()
	self := quota.VM{
		Name:        s.Settings.VM.Name,
		Incarnation: s.incarnation,
	}
	s.quotas.allocator.Record(self, s.QuotaReport(), now)
	if s.lease.RecordedVMs() == 0 {
		// The next holder must know that grants may be in force, and how many VMs there are.
		return nil
	}
	grants := s.quotas.allocator.Allocate(s.quotas.accounts(), now)
	for _, g := range grants {
		if g.VM == self {
			s.ReceiveGrant(g.Grant)
		}
	}
	return grants
}

// ReceiveGrant implements cluster.LocalVM.
func (s *Server) ReceiveGrant(g *quota.Grant) {
	if s.quotas.limiter.Receive(g, s.quotas.accounts(), s.BootClock.Elapsed()) {
		event.QuotaGranted.Log(s.Logger)
	}
}

// vmsToRecord returns the number of VMs that the next record of the lease tells. A VM that has no configuration yet, or does not hold the
// lease yet, passes on the number that it knows.
func (s *Server) vmsToRecord(recorded int, fence uint64) int {
	if s.catalog.Current() == nil {
		return recorded
	}
	if !quota.Limited(s.quotas.accounts()) {
		return 0
	}
	if n := s.quotas.allocator.VMCount(fence, s.BootClock.Elapsed()); n > 0 {
		return n
	}
	// A VM that was linked to the former holder has not read its records, but got its grants.
	return max(recorded, s.quotas.limiter.VMs())
}

// maintainQuotas tells the limiter the number of VMs by the lease, and logs when the newest grant has expired.
func (s *Server) maintainQuotas() {
	s.quotas.limiter.KnownVMs(s.lease.RecordedVMs())
	if s.quotas.limiter.Expired(s.BootClock.Elapsed()) {
		event.QuotaGrantExpired.Log(s.Logger)
	}
}

// quotaAccounts returns the client accounts of the active configuration.
func (s *Server) quotaAccounts() []catalog.Account {
	if current := s.catalog.Current(); current != nil {
		return current.Accounts()
	}
	return nil
}
