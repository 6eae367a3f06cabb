package cluster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/quota"
)

// fakeQuotas is what a fakeVM reports and grants, and what it received.
type fakeQuotas struct {
	report  *quota.Report
	grants  []quota.Outgoing
	reports []receivedQuotaReport
	granted []*quota.Grant
}

type receivedQuotaReport struct {
	vm     quota.VM
	report *quota.Report
}

func (v *fakeVM) QuotaReport() *quota.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.quotas.report
}

func (v *fakeVM) ReceiveQuotaReport(vm quota.VM, r *quota.Report) {
	v.update(func(v *fakeVM) {
		v.quotas.reports = append(v.quotas.reports, receivedQuotaReport{
			vm:     vm,
			report: r,
		})
	})
}

func (v *fakeVM) QuotaGrants() []quota.Outgoing {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.quotas.grants
}

func (v *fakeVM) ReceiveGrant(g *quota.Grant) {
	v.update(func(v *fakeVM) { v.quotas.granted = append(v.quotas.granted, g) })
}

// A VM without its grant would fall back to the even share while it is linked.
func TestGrantReachesItsVM(t *testing.T) {
	grant := &quota.Grant{
		Fence:    5,
		Number:   1,
		VMs:      2,
		Accounts: []quota.AccountGrant{{Account: "a", Share: 0.25, Credit: 300, Debt: 100}},
	}
	report := &quota.Report{
		Fence:    4,
		Number:   7,
		Full:     true,
		Accounts: []quota.AccountReport{{Account: "a", Demand: 300, Used: 900, Share: 0.5}},
	}
	p := newPairWith(t, func(holder, other *fakeVM) {
		other.quotas.report = report
		holder.quotas.grants = []quota.Outgoing{
			{VM: quota.VM{Name: "absent"}, Grant: &quota.Grant{Fence: 5, Number: 2}},
			{VM: quota.VM{Name: "other"}, Grant: grant},
		}
	})
	runAggregator(t, p)
	require.Eventually(t, p.holder.check(func(v *fakeVM) bool { return len(v.quotas.reports) > 0 }), waitTimeout, pollInterval)
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return len(v.quotas.granted) > 0 }), waitTimeout, pollInterval)
	p.holder.check(func(v *fakeVM) bool {
		require.Equal(t, quota.VM{Name: "other"}, v.quotas.reports[0].vm)
		require.Equal(t, report, v.quotas.reports[0].report)
		return true
	})()
	p.other.check(func(v *fakeVM) bool {
		require.Equal(t, grant, v.quotas.granted[0])
		return true
	})()
}

// Deployments without accounts must exchange the frames of earlier builds only.
func TestNoGrantsWithoutAccounts(t *testing.T) {
	p := newPair(t)
	runAggregator(t, p)
	require.Eventually(t, p.holder.check(func(v *fakeVM) bool { return len(v.quotas.reports) > 3 }), waitTimeout, pollInterval)
	time.Sleep(time.Second)
	require.True(t, p.other.check(func(v *fakeVM) bool { return len(v.quotas.granted) == 0 })())
	p.holder.check(func(v *fakeVM) bool {
		for _, r := range v.quotas.reports {
			require.Nil(t, r.report)
		}
		return true
	})()
}
