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
	"github.com/cowsliparch/cowsliparch/internal/fold"
	"github.com/cowsliparch/cowsliparch/internal/modelcall"
	"github.com/cowsliparch/cowsliparch/internal/peer"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

const (
	linkTime = 5 * time.Second
	// levelChange is how many of a hundred models change their wait level between two heartbeats.
	levelChange = 1
)

// lightPeer is a peer that only answers heartbeats, with levels of so many models that change now and then.
type lightPeer struct {
	models    int
	beats     int
	neighbour bool
}

// Neighbour implements peer.Local.
func (p *lightPeer) Neighbour(string) bool { return p.neighbour }

// State implements peer.Local.
func (p *lightPeer) State() configuration.State { return configuration.New() }

// Stopping implements peer.Local.
func (p *lightPeer) Stopping() bool { return false }

// Levels implements peer.Local.
func (p *lightPeer) Levels() map[string]int8 {
	p.beats++
	levels := make(map[string]int8, p.models)
	for i := range p.models {
		// Each model's level moves between two values once in a hundred heartbeats.
		levels[fmt.Sprintf("model-%d", i)] = int8((p.beats*levelChange + i) / 100 % 2)
	}
	return levels
}

// Demand implements peer.Local.
func (p *lightPeer) Demand(string, map[string]uint64) {}

// Desk implements peer.Local.
func (p *lightPeer) Desk() booking.Batcher { return nil }

// Prepare implements peer.Local.
func (p *lightPeer) Prepare([]byte, string, string, time.Time) (modelcall.Call, *refusal.Refusal) {
	return modelcall.Call{}, nil
}

// Serve implements peer.Local.
func (p *lightPeer) Serve(context.Context, modelcall.Call, modelcall.Sink) *refusal.Refusal {
	return nil
}

// Links measures the steady heartbeats of one VM, by the number of its links: to neighbours, or to peers of other failure
// domains that serve 300 models each.
func Links(clock clockwork.Clock, neighbours bool) (bytes, cpu Series, err error) {
	var traffic, work []Point
	for _, links := range []int{1, 2, 3, 4} {
		sent, used, err := beatLinks(clock, links, neighbours)
		if err != nil {
			return bytes, cpu, err
		}
		traffic = append(traffic, Point{
			Size:  float64(links),
			Value: sent,
		})
		work = append(work, Point{
			Size:  float64(links),
			Value: used,
		})
	}
	name := "heartbeats to other failure domains"
	if neighbours {
		name = "heartbeats within the failure domain"
	}
	return newSeries(name, "links", "B/s", traffic), newSeries(name+", both ends", "links", "us/s", work), nil
}

func beatLinks(clock clockwork.Clock, links int, neighbours bool) (bytesPerSecond, microsPerSecond float64, err error) {
	logger := slog.New(slog.DiscardHandler)
	log := fakelog.New(clock, 1)
	var vms []vmlist.VM
	for i := range links {
		light := &lightPeer{
			models:    Models / FailureDomains,
			neighbour: neighbours,
		}
		server, err := fake.Serve(peer.NewServer("incarnation", light, clock))
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
	tail := fold.NewTail(configuration.New(), log, configuration.Stream, clock, logger)
	node := peer.NewNode(peer.Options{
		Name:          "self",
		FailureDomain: "domain",
		Heartbeat:     time.Second,
	}, func() []vmlist.VM { return vms }, tail, clock, logger)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = node.Run(ctx)
	}()
	// The first pulse on a link carries every level; it is left out.
	clock.Sleep(2 * time.Second)
	sent, used := node.Bytes(), cpuTime()
	clock.Sleep(linkTime)
	bytesPerSecond = float64(node.Bytes()-sent) / linkTime.Seconds()
	microsPerSecond = micros(cpuTime()-used) / linkTime.Seconds()
	cancel()
	<-done
	return bytesPerSecond, microsPerSecond, nil
}
