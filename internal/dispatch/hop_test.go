package dispatch_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// through replies as a VM does that gets a request of another one.
func through(vm *harness) reply {
	return func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
		relayed := *r
		relayed.Identity = dispatch.Identity{}
		relayed.MaxWait, relayed.Proxied = attempt.Remaining, attempt.Proxied
		relayed.Proxied.VM = "v0"
		vm.dispatcher.Serve(ctx, &relayed, vm.caller)
		if refused := vm.caller.refused; refused != nil {
			return refuse(refused)(ctx, r, attempt)
		}
		return proxied(respond(vm.caller.status, vm.caller.body))(ctx, r, attempt)
	}
}

// A request that goes through two VMs is charged to its account and counted as demand at the first one only, has the account and its priority
// at the second, and gets its cost back if it did not run.
func TestRequestThroughTwoVMsIsCountedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		runner   reply
		status   int
		returned bool
	}{
		"answered": {stream(nil, firstEvent), http.StatusOK, false},
		"not run":  {decline(http.StatusServiceUnavailable), http.StatusServiceUnavailable, true},
		"unknown":  {loseResponse, http.StatusBadGateway, false},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newHarness(t), newHarness(t, test.runner)
			quotas, secondQuotas := withAccounts(first), withAccounts(second)
			demand, secondDemand := &countingDemand{}, &countingDemand{}
			first.dispatcher.Demand, second.dispatcher.Demand = demand, secondDemand
			reach, proxies := first.withProxies([]string{"v1"}, through(second))
			reach.cut()
			first.serveWithKey(t, "/stream/", largeKey)
			require.Equal(t, 1, proxies.count())
			require.Len(t, quotas.taken, 1)
			require.Empty(t, secondQuotas.taken)
			require.Empty(t, secondQuotas.returned)
			require.Equal(t, test.returned, len(quotas.returned) == 1)
			require.Equal(t, 1, demand.requests)
			require.Zero(t, secondDemand.requests)
			require.Equal(t, "large", second.sender.attempts[0].Account)
			require.Equal(t, proxies.attempts[0].Priority, second.sender.attempts[0].Priority)
			if test.status != http.StatusOK {
				require.Equal(t, test.status, first.caller.refused.Status)
				require.Equal(t, test.returned, first.caller.refused.Ran == refusal.NotRun)
				return
			}
			require.Equal(t, firstEvent, first.caller.body)
		})
	}
}
