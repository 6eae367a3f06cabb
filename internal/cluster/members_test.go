package cluster_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/cluster"
)

// Of hundreds of members, a heartbeat lists a few; the number of all is told in each.
func TestHeartbeatSamplesMembers(t *testing.T) {
	p := newPair(t)
	require.Eventually(t, func() bool { return p.spoke.MemberCount() == 2 && len(p.spoke.Members()) == 2 }, waitTimeout, pollInterval)
	local := newFakeVM()
	local.holder = p.other.holder
	for i := range 20 {
		name := fmt.Sprintf("vm-%d", i)
		spoke := cluster.NewSpoke(cluster.Member{Name: name, ReadsMemberCount: true}, local, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = spoke.Run(ctx)
		}()
		t.Cleanup(func() {
			stop()
			<-done
		})
		if i == 19 {
			require.Eventually(t, func() bool { return spoke.MemberCount() == 22 }, waitTimeout, pollInterval)
			require.LessOrEqual(t, len(spoke.Members()), 8)
		}
	}
	require.Eventually(t, func() bool { return len(p.spoke.Members()) == 22 }, waitTimeout, pollInterval, "a VM of an older release counts the list")
}
