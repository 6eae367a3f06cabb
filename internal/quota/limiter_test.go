package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/quota"
)

// requestAccount counts requests: 100 per second and 20 at once.
func requestAccount() catalog.Account {
	return catalog.Account{
		Name: "a",
		Quota: catalog.Quota{
			Rate:  100,
			Burst: 20,
		},
	}
}

func grant(fence, number uint64, a quota.AccountGrant) *quota.Grant {
	a.Account = "a"
	return &quota.Grant{
		Fence:    fence,
		Number:   number,
		VMs:      4,
		Accounts: []quota.AccountGrant{a},
	}
}

// admitted returns how many of n requests are admitted.
func admitted(l *quota.Limiter, account catalog.Account, n int, now time.Duration) int {
	ok := 0
	for range n {
		if _, admitted := l.Take(&account, 1, now); admitted {
			ok++
		}
	}
	return ok
}

// A new process must not repeat the burst that the VMs used before they were lost.
func TestNewProcessBeginsEmpty(t *testing.T) {
	l, account := quota.NewLimiter(), requestAccount()
	require.Zero(t, admitted(l, account, 10, time.Hour))
	l.KnownVMs(4)
	require.Zero(t, admitted(l, account, 10, time.Hour))
	require.Equal(t, 5, admitted(l, account, 10, time.Hour+200*time.Millisecond), "the even share of 100 per second, for 200 ms")
}

func TestVMWithoutNumberOfVMsHasNoShare(t *testing.T) {
	l, account := quota.NewLimiter(), requestAccount()
	require.Zero(t, admitted(l, account, 10, 0))
	require.Zero(t, admitted(l, account, 10, time.Hour))
	wait, _ := l.Take(&account, 1, time.Hour)
	require.Positive(t, wait)
}

func TestAccountWithoutLimitIsAdmitted(t *testing.T) {
	l := quota.NewLimiter()
	require.Equal(t, 1000, admitted(l, catalog.Account{Name: "a"}, 1000, 0))
	require.Nil(t, l.Report([]catalog.Account{{Name: "a"}}, 0), "nothing is reported without a limited account")
}

func TestGrantGivesCreditOnce(t *testing.T) {
	l, account := quota.NewLimiter(), requestAccount()
	accounts := []catalog.Account{account}
	l.Receive(grant(1, 1, quota.AccountGrant{Share: 0.5, Credit: 7}), accounts, 0)
	require.Equal(t, 7, admitted(l, account, 20, 0))
	l.Receive(grant(1, 2, quota.AccountGrant{Share: 0.5, Credit: 7}), accounts, time.Second)
	require.Zero(t, admitted(l, account, 20, time.Second), "a renewal gives nothing")
	l.Return(&account, 1, time.Second)
	require.Equal(t, 1, admitted(l, account, 20, time.Second), "a request that did not run gives its unit back")
}

// A late grant of an earlier holder, or one that was overtaken, must not raise the credit again.
func TestOlderGrantsAreIgnored(t *testing.T) {
	l, account := quota.NewLimiter(), requestAccount()
	accounts := []catalog.Account{account}
	l.Receive(grant(2, 2, quota.AccountGrant{Credit: 3}), accounts, 0)
	l.Receive(grant(2, 1, quota.AccountGrant{Credit: 9}), accounts, 0)
	l.Receive(grant(1, 7, quota.AccountGrant{Credit: 9}), accounts, 0)
	require.Equal(t, 3, admitted(l, account, 20, 0))
	l.Receive(grant(3, 1, quota.AccountGrant{Credit: 5}), accounts, 0)
	require.Equal(t, 2, admitted(l, account, 20, 0))
}

func TestVMWithoutGrantsRefillsByItsShareThenEvenly(t *testing.T) {
	l, account := quota.NewLimiter(), requestAccount()
	l.Receive(grant(1, 1, quota.AccountGrant{Share: 0.1}), []catalog.Account{account}, 0)
	admit := func(from, to time.Duration) (n int) {
		for now := from; now < to; now += 10 * time.Millisecond {
			n += admitted(l, account, 5, now)
		}
		return n
	}
	require.Zero(t, admit(0, time.Second), "the holder's next grant is awaited")
	require.InDelta(t, 10*10, admit(1500*time.Millisecond, 11500*time.Millisecond), 3)
	require.False(t, l.Expired(19*time.Second))
	require.True(t, l.Expired(21*time.Second))
	require.False(t, l.Expired(22*time.Second), "it is reported once")
	admit(20*time.Second, 26*time.Second)
	require.InDelta(t, 10*25, admit(26*time.Second, 36*time.Second), 8, "the even share")
	require.True(t, l.Receive(grant(1, 2, quota.AccountGrant{}), []catalog.Account{account}, 40*time.Second))
}

func TestDebtIsPermittedAndPaidBack(t *testing.T) {
	l, account := quota.NewLimiter(), requestAccount()
	accounts := []catalog.Account{account}
	l.Receive(grant(1, 1, quota.AccountGrant{Share: 0.5, Debt: 3}), accounts, 0)
	require.Equal(t, 3, admitted(l, account, 20, 0))
	l.Receive(grant(1, 2, quota.AccountGrant{Share: 0.5, Credit: 4}), accounts, 0)
	require.Equal(t, 1, admitted(l, account, 20, 0))
}

func TestLoweredQuotaCutsTheBucket(t *testing.T) {
	l, account := quota.NewLimiter(), requestAccount()
	l.Receive(grant(1, 1, quota.AccountGrant{Credit: 50}), []catalog.Account{account}, 0)
	account.Quota.Rate, account.Quota.Burst = 1, 1
	require.Equal(t, 1, admitted(l, account, 50, 0))
}

// Demand is reported once, with refused requests, and a removed account is not reported; its units must not start over.
func TestReport(t *testing.T) {
	l, account := quota.NewLimiter(), requestAccount()
	accounts := []catalog.Account{account}
	l.Receive(grant(1, 1, quota.AccountGrant{Share: 0.5, Credit: 2}), accounts, 0)
	admitted(l, account, 5, 0)
	r := l.Report(accounts, 0)
	require.False(t, r.Full)
	require.Equal(t, []quota.AccountReport{{Account: "a", Demand: 5, Used: 2}}, r.Accounts)
	require.Empty(t, l.Report(accounts, 1200*time.Millisecond).Accounts)
	require.True(t, l.Report(accounts, 3*time.Second).Full)
	require.Nil(t, l.Report(nil, 3*time.Second))
	require.Equal(t, 2, int(l.Report(accounts, 3*time.Second).Accounts[0].Used))
	require.Len(t, l.Status(3*time.Second).Accounts, 1)
}

func TestRetryAfterNamesTheTimeUntilThereIsRoom(t *testing.T) {
	l, account := quota.NewLimiter(), requestAccount()
	l.Receive(grant(1, 1, quota.AccountGrant{Share: 0.1}), []catalog.Account{account}, 0)
	for range 100 {
		wait, ok := l.Take(&account, 1, 0)
		require.False(t, ok)
		require.GreaterOrEqual(t, wait, 100*time.Millisecond, "10 per second")
		require.LessOrEqual(t, wait, 350*time.Millisecond)
	}
}

// Take is called for each request, on VMs with a seventh of a core.
func TestTakeDoesNotAllocate(t *testing.T) {
	l, account := quota.NewLimiter(), requestAccount()
	l.Receive(grant(1, 1, quota.AccountGrant{Credit: 5}), []catalog.Account{account}, 0)
	require.Zero(t, testing.AllocsPerRun(100, func() { _, _ = l.Take(&account, 1, 0) }))
}
