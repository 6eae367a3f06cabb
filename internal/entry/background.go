package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/pause"
)

// demandInterval is how often demand is shared within the failure domain and measured.
const demandInterval = time.Second

// heartbeatWindow is how long after its last heartbeat a peer still counts as reporting its demand.
const heartbeatWindow = 5 * time.Second

// watchConfiguration logs each configuration version as it takes effect on this VM.
func (e *Entry) watchConfiguration(ctx context.Context) error {
	version := e.configuration.State().Version()
	for {
		state, err := e.configuration.Wait(ctx, func(s configuration.State) bool { return s.Version() > version })
		if err != nil {
			return nil
		}
		if version == 0 {
			event.EntryReady.Log(e.Logger)
		}
		version = state.Version()
		event.ConfigurationInForce.Log(e.Logger, slog.Uint64("Version", uint64(version)), slog.String("Preset", state.Preset().Name))
	}
}

// shareDemand reports the calls counted on this VM to the VMs of its failure domain, for their placement planners.
func (e *Entry) shareDemand(ctx context.Context) error {
	for {
		if !pause.For(ctx, e.Clock, demandInterval) {
			return nil
		}
		counts := e.localDemand.Drain()
		if len(counts) == 0 {
			continue
		}
		e.domainDemand.Add(counts)
		e.peerNode.ShareDemand(counts)
	}
}

// measureDemand converts the calls counted in this failure domain to rates.
func (e *Entry) measureDemand(ctx context.Context) error {
	last := e.Clock.Now()
	for {
		if !pause.For(ctx, e.Clock, demandInterval) {
			return nil
		}
		now := e.Clock.Now()
		e.demandMeter.Observe(e.domainDemand.Drain(), now.Sub(last), e.demandScale(now))
		last = now
	}
}

// demandScale returns the factor that extrapolates the demand of this VM and its recently heard peers to the whole failure
// domain. A VM links to a fixed number of peers only, and the load balancer spreads calls evenly over all VMs.
func (e *Entry) demandScale(now time.Time) float64 {
	recent := 1 + e.heartbeats.countSince(now.Add(-heartbeatWindow))
	total := len(e.directory.View().LiveEntries(e.Settings.VM.FailureDomain))
	return max(1, float64(total)/float64(recent))
}

func (e *Entry) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		e.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: name,
			Help: help,
		}, value))
	}
	gauge("cowsliparch_calls_in_flight", "Calls being answered.", func() float64 { return float64(e.callLimiter.Count()) })
	gauge("cowsliparch_configuration_version", "Configuration version in force here.", func() float64 {
		return float64(e.configuration.State().Version())
	})
	gauge("cowsliparch_records_skipped", "Records of the Configuration stream skipped here.", func() float64 {
		return float64(e.configuration.Skipped())
	})
	gauge("cowsliparch_claimed_keys", "Keys of at-most-once calls remembered here.", func() float64 {
		return float64(e.claimBatcher.KeyCount())
	})
	gauge("cowsliparch_cross_region_bytes", "Bytes of calls and answers exchanged with other regions.", func() float64 {
		return float64(e.peerNode.CrossRegionBytes())
	})
	gauge("cowsliparch_peer_bytes", "Bytes exchanged with peers.", func() float64 {
		return float64(e.peerNode.Bytes() + e.peerServer.Bytes())
	})
	gauge("cowsliparch_peers_alive", "Linked peers that answer heartbeats.", func() float64 {
		return float64(len(e.peerNode.Alive()))
	})
}
