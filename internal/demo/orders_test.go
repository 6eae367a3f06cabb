package demo_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/demo"
	"github.com/cowsliparch/cowsliparch/internal/deployment"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakeengine"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakelog"
	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// fastDeployment returns a deployment with a fast store and fast engines, so that a test can run many orders.
func fastDeployment(fencing configuration.Fencing) deployment.Deployment {
	d := deployment.Peplos()
	d.Configuration.Store.LoadsPerSecond = 200
	d.Configuration.Store.LoadsAtOnce = 60
	d.Engine.LoadTime = 20 * time.Millisecond
	d.Configuration.Services[0].Fencing = fencing
	return d
}

func usePreset(t *testing.T, cluster *demo.Cluster, vm int, preset string) {
	t.Helper()
	client := operatorapi.New(cluster.Entries[vm].Entry.ControlAddress(), http.DefaultClient)
	inForce, err := client.InForce(t.Context())
	require.NoError(t, err)
	_, err = client.Publish(t.Context(), operatorapi.Change{
		ID:     uuid.NewString(),
		Base:   inForce.Version,
		Preset: preset,
	})
	require.NoError(t, err)
}

// No load may exceed the memory of an accelerator and every model must become reachable, although orders are lost, late or
// unanswered while presets change, lease holders stop, engines restart and the log fails. The engines count the loads.
func TestOrdersUnderFaults(t *testing.T) {
	for _, fencing := range []configuration.Fencing{configuration.Ignored, configuration.Enforced, configuration.Persistent} {
		t.Run(string(fencing), func(t *testing.T) {
			t.Parallel()
			cluster, err := demo.New(demo.Options{
				Deployment: fastDeployment(fencing),
				Seed:       1,
				Logger:     slog.New(slog.DiscardHandler),
				Adjust: func(s *settings.Settings) {
					s.Limits.DrainDelay = 0
					s.Control.LeaseTerm = 1500 * time.Millisecond
					s.Control.LeaseMargin = 400 * time.Millisecond
					s.Control.DeliveryBound = 3 * time.Second
				},
			})
			require.NoError(t, err)
			t.Cleanup(cluster.Close)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			require.NoError(t, cluster.Publish(ctx))
			setFaults(cluster.Engines, fakeengine.Faults{
				LostOrder:  0.1,
				LostAnswer: 0.1,
				LateOrder:  0.1,
				LateBy:     300 * time.Millisecond,
			})
			require.NoError(t, cluster.WaitServing(ctx))
			for i, preset := range []string{"peak", "maintenance", "peak", "ordinary"} {
				usePreset(t, cluster, i, preset)
				time.Sleep(500 * time.Millisecond)
				cluster.Engines[i*2].Restart()
				replaceEntry(t, cluster, i)
				cluster.Log.SetFaults(fakelog.Faults{LostAnswer: 0.3, RefusedAppend: 0.2})
				time.Sleep(500 * time.Millisecond)
				cluster.Log.SetFaults(fakelog.Faults{})
			}
			setFaults(cluster.Engines, fakeengine.Faults{})
			require.NoError(t, cluster.WaitServing(ctx), "a model is still unreachable")
			require.Zero(t, cluster.Totals().MemoryBreaches)
			require.Greater(t, cluster.Totals().LoadsStarted, 34)
		})
	}
}

// replaceEntry stops an entry VM and starts another one in the same failure domain.
func replaceEntry(t *testing.T, cluster *demo.Cluster, i int) {
	t.Helper()
	member := cluster.Entries[i]
	require.NoError(t, member.Stop())
	cluster.VMList.Remove(member.VM.Name)
	replacement, err := cluster.StartEntry(fmt.Sprintf("replacement-%d", i), member.VM.FailureDomain)
	require.NoError(t, err)
	cluster.Entries[i] = replacement
}

// Every VM puts a change in force. The test logs the times, with the users' bounds, for docs/MEASURES.md; it does not check
// them against the bounds.
func TestConfigurationTakesEffectOnEveryVM(t *testing.T) {
	cluster := newCluster(t, deployment.Peplos(), 3)
	for _, test := range []struct {
		name   string
		faults fakelog.Faults
		bound  time.Duration
	}{
		{
			name:  "healthy",
			bound: 2 * time.Second,
		},
		{
			name:   "log slow by 3 s",
			faults: fakelog.Faults{Delay: 3 * time.Second},
			bound:  11 * time.Second,
		},
	} {
		cluster.Log.SetFaults(test.faults)
		before := cluster.Entries[0].Entry.State().Version()
		start := time.Now()
		preset := "peak"
		if cluster.Entries[0].Entry.State().Preset().Name == preset {
			preset = "ordinary"
		}
		usePreset(t, cluster, 0, preset)
		accepted := time.Now()
		for _, member := range cluster.Entries {
			require.Eventually(t, func() bool { return member.Entry.State().Version() > before }, testTimeout, time.Millisecond)
		}
		t.Logf("%s: in force on the last VM %s after the request and %s after acceptance (bound %s)", test.name, time.Since(start), time.Since(accepted), test.bound)
		cluster.Log.SetFaults(fakelog.Faults{})
	}
}

// VMs that can't reach the log get the newest configuration from peers that can, and VMs that start during an outage of the
// log get it from their peers.
func TestPeersForwardConfiguration(t *testing.T) {
	cluster := newCluster(t, deployment.Peplos(), 3)
	model := cluster.Deployment.Configuration.Models[0].Name
	for _, member := range cluster.Entries {
		require.Eventually(t, func() bool { return member.Entry.ServedByOtherDomain(model) }, testTimeout, time.Millisecond)
	}
	disconnected := cluster.Entries[6:]
	for _, member := range disconnected {
		member.Connection.SetInterrupted(true)
	}
	before := cluster.Entries[0].Entry.State().Version()
	usePreset(t, cluster, 0, "peak")
	accepted := time.Now()
	for _, member := range disconnected {
		require.Eventually(t, func() bool { return member.Entry.State().Version() > before }, testTimeout, time.Millisecond)
		require.Equal(t, "peak", member.Entry.State().Preset().Name)
	}
	t.Logf("failure domain without the log: in force on its last VM %s after acceptance", time.Since(accepted))

	cluster.Log.SetFaults(fakelog.Faults{Outage: true})
	start := time.Now()
	newVM, err := cluster.StartEntry("late", disconnected[0].VM.FailureDomain)
	require.NoError(t, err)
	cluster.Entries = append(cluster.Entries, newVM)
	require.Eventually(t, func() bool { return newVM.Entry.State().Version() > before }, testTimeout, time.Millisecond)
	t.Logf("VM started during a log outage: in force after %s", time.Since(start))
	cluster.Log.SetFaults(fakelog.Faults{})
}
