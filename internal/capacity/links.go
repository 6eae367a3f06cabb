package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/booking"
	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/fake"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakelog"
	"github.com/cowsliparch/cowsliparch/internal/modelcall"
	"github.com/cowsliparch/cowsliparch/internal/peer"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/replay"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

const (
	linkMeasureTime = 5 * time.Second
	// levelChangePercent is the percentage of models whose wait level changes between two heartbeats.
	levelChangePercent = 1
)

// stubPeer is a peer that only answers heartbeats, with occasionally changing wait levels for a number of models.
type stubPeer struct {
	models       int
	heartbeats   int
	inSameDomain bool
}

// InSameDomain implements peer.Local.
func (s *stubPeer) InSameDomain(string) bool { return s.inSameDomain }

// State implements peer.Local.
func (s *stubPeer) State() configuration.State { return configuration.New() }

// Stopping implements peer.Local.
func (s *stubPeer) Stopping() bool { return false }

// WaitLevels implements peer.Local.
func (s *stubPeer) WaitLevels() map[string]int8 {
	s.heartbeats++
	levels := make(map[string]int8, s.models)
	for i := range s.models {
		// Each model's level moves between two values once in a hundred heartbeats.
		levels[fmt.Sprintf("model-%d", i)] = int8((s.heartbeats*levelChangePercent + i) / 100 % 2)
	}
	return levels
}

// Demand implements peer.Local.
func (s *stubPeer) Demand(string, map[string]uint64) {}

// Batcher implements peer.Local.
func (s *stubPeer) Batcher() booking.Batcher { return nil }

// Prepare implements peer.Local.
func (s *stubPeer) Prepare([]byte, string, string, time.Time) (modelcall.Call, *refusal.Refusal) {
	return modelcall.Call{}, nil
}

// Serve implements peer.Local.
func (s *stubPeer) Serve(context.Context, modelcall.Call, modelcall.Sink) *refusal.Refusal {
	return nil
}

// Links measures the traffic and CPU time of one VM's heartbeats in steady state, by the number of its links: to peers in its
// own failure domain if inSameDomain is set, and otherwise in other failure domains that serve 300 models each.
func Links(clock clockwork.Clock, inSameDomain bool) (bytes, cpu Series, err error) {
	var traffic, work []Point
	for _, links := range []int{1, 2, 3, 4} {
		bytesPerSecond, microsPerSecond, err := measureHeartbeats(clock, links, inSameDomain)
		if err != nil {
			return bytes, cpu, err
		}
		traffic = append(traffic, Point{
			Size:  float64(links),
			Value: bytesPerSecond,
		})
		work = append(work, Point{
			Size:  float64(links),
			Value: microsPerSecond,
		})
	}
	name := "heartbeats to other failure domains"
	if inSameDomain {
		name = "heartbeats within the failure domain"
	}
	return newSeries(name, "links", "B/s", traffic), newSeries(name+", both ends", "links", "us/s", work), nil
}

func measureHeartbeats(clock clockwork.Clock, links int, inSameDomain bool) (bytesPerSecond, microsPerSecond float64, err error) {
	logger := slog.New(slog.DiscardHandler)
	log := fakelog.New(clock, 1)
	var vms []vmlist.VM
	for i := range links {
		stub := &stubPeer{
			models:       Models / FailureDomains,
			inSameDomain: inSameDomain,
		}
		server, err := fake.Serve(peer.NewServer("incarnation", stub, clock))
		if err != nil {
			return 0, 0, err
		}
		defer server.Close()
		vms = append(vms, vmlist.VM{
			Name:          fmt.Sprintf("peer-%d", i),
			Address:       server.Address,
			Role:          vmlist.EntryRole,
			FailureDomain: "domain",
			State:         vmlist.Live,
		})
	}
	follower := replay.NewFollower(configuration.New(), log, configuration.Stream, clock, logger)
	node := peer.NewNode(peer.Options{
		Name:          "self",
		FailureDomain: "domain",
		Heartbeat:     time.Second,
	}, func() []vmlist.VM { return vms }, follower, clock, logger)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = node.Run(ctx)
	}()
	// Don't measure the first pulse on each link: it carries all levels, later ones only changes.
	clock.Sleep(2 * time.Second)
	sentBefore, cpuBefore := node.Bytes(), cpuTime()
	clock.Sleep(linkMeasureTime)
	bytesPerSecond = float64(node.Bytes()-sentBefore) / linkMeasureTime.Seconds()
	microsPerSecond = micros(cpuTime()-cpuBefore) / linkMeasureTime.Seconds()
	cancel()
	<-done
	return bytesPerSecond, microsPerSecond, nil
}
