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

// demandInterval is how often demand is shared with the failure domain.
const demandInterval = time.Second

// heardFor is for how long a VM counts as heard.
const heardFor = 5 * time.Second

// watchConfiguration logs each version as it comes in force here.
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

// shareDemand hands what callers asked for here to the failure domain's planners.
func (e *Entry) shareDemand(ctx context.Context) error {
	for {
		if !pause.For(ctx, e.Clock, demandInterval) {
			return nil
		}
		counts := e.demand.Take()
		if len(counts) == 0 {
			continue
		}
		e.domainDemand.Add(counts)
		e.node.Share(counts)
	}
}

// measureDemand turns the calls counted in this failure domain into rates.
func (e *Entry) measureDemand(ctx context.Context) error {
	last := e.Clock.Now()
	for {
		if !pause.For(ctx, e.Clock, demandInterval) {
			return nil
		}
		now := e.Clock.Now()
		e.meter.Observe(e.domainDemand.Take(), now.Sub(last), e.demandScale(now))
		last = now
	}
}

// demandScale extrapolates from the VMs heard lately to all of the failure domain, among which the balancer spreads calls
// evenly: a VM is linked to a fixed number of them only.
func (e *Entry) demandScale(now time.Time) float64 {
	heard := 1 + e.heard.since(now.Add(-heardFor))
	all := len(e.directory.View().LiveEntries(e.Settings.VM.FailureDomain))
	return max(1, float64(all)/float64(heard))
}

func (e *Entry) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		e.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: name,
			Help: help,
		}, value))
	}
	gauge("cowsliparch_calls_in_flight", "Calls being answered.", func() float64 { return float64(e.gate.Inside()) })
	gauge("cowsliparch_configuration_version", "Configuration version in force here.", func() float64 {
		return float64(e.configuration.State().Version())
	})
	gauge("cowsliparch_records_skipped", "Records of the Configuration stream skipped here.", func() float64 {
		return float64(e.configuration.Skipped())
	})
	gauge("cowsliparch_claimed_keys", "Keys of at-most-once calls remembered here.", func() float64 { return float64(e.desk.Keys()) })
	gauge("cowsliparch_cross_region_bytes", "Bytes of calls and answers exchanged with other regions.", func() float64 {
		return float64(e.node.CrossRegionBytes())
	})
	gauge("cowsliparch_peer_bytes", "Bytes exchanged with peers.", func() float64 {
		return float64(e.node.Bytes() + e.peers.Bytes())
	})
	gauge("cowsliparch_peers_alive", "Linked peers that answer heartbeats.", func() float64 { return float64(len(e.node.Alive())) })
}
