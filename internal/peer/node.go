package peer

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/replay"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

const (
	// domainRoundTrip and regionRoundTrip are the assumed network round trips to another failure domain of the same region
	// and to another region.
	domainRoundTrip = 3 * time.Millisecond
	regionRoundTrip = 60 * time.Millisecond
)

// Node manages the links that one VM opens to its peers.
type Node struct {
	name        string
	incarnation string
	domain      string
	region      string
	heartbeat   time.Duration
	entries     func() []vmlist.VM
	follower    *replay.Follower[configuration.State]
	clock       clockwork.Clock
	logger      *slog.Logger

	crossRegionBytes atomic.Uint64
	bytes            atomic.Uint64

	mu    sync.Mutex
	links map[string]*runningLink
}

// runningLink is a link with the function that stops it.
type runningLink struct {
	link *Link
	stop context.CancelFunc
}

// Options identifies a VM and sets its heartbeat interval.
type Options struct {
	Name          string
	Incarnation   string
	FailureDomain string
	Region        string
	Heartbeat     time.Duration
}

// NewNode returns a node that links to the VMs that entries returns, and passes newer configurations from peers to follower.
func NewNode(o Options, entries func() []vmlist.VM, follower *replay.Follower[configuration.State], clock clockwork.Clock, logger *slog.Logger) *Node {
	return &Node{
		name:        o.Name,
		incarnation: o.Incarnation,
		domain:      o.FailureDomain,
		region:      o.Region,
		heartbeat:   o.Heartbeat,
		entries:     entries,
		follower:    follower,
		clock:       clock,
		logger:      logger,
		links:       make(map[string]*runningLink),
	}
}

// Run opens and closes links to match the VM list until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		n.updateLinks(ctx, &wg)
		if !pause.For(ctx, n.clock, n.heartbeat) {
			return nil
		}
	}
}

func (n *Node) updateLinks(ctx context.Context, wg *sync.WaitGroup) {
	targets := Targets(n.name, n.domain, n.entries())
	n.mu.Lock()
	defer n.mu.Unlock()
	wanted := make(map[string]bool, len(targets))
	for _, vm := range targets {
		wanted[vm.Name] = true
		l, ok := n.links[vm.Name]
		if ok && l.link.vm == vm {
			continue
		}
		if ok {
			l.stop()
		}
		linkCtx, stop := context.WithCancel(ctx)
		link := newLink(vm, n.roundTrip(vm), n)
		n.links[vm.Name] = &runningLink{
			link: link,
			stop: stop,
		}
		wg.Go(func() { link.run(linkCtx) })
	}
	for name, l := range n.links {
		if !wanted[name] {
			l.stop()
			delete(n.links, name)
		}
	}
}

func (n *Node) roundTrip(vm vmlist.VM) time.Duration {
	if vm.Region != n.region {
		return regionRoundTrip
	}
	return domainRoundTrip
}

// Serving implements modelcall.Remotes: peers of other failure domains in this region come first, then those of other
// regions.
func (n *Node) Serving(model string) [][]Remote {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sameRegion, otherRegions []Remote
	for _, l := range n.links {
		if l.link.vm.FailureDomain == n.domain {
			continue
		}
		if _, ok := l.link.predict(model); !ok {
			continue
		}
		remote := Remote{
			link:  l.link,
			model: model,
		}
		if l.link.vm.Region == n.region {
			sameRegion = append(sameRegion, remote)
		} else {
			otherRegions = append(otherRegions, remote)
		}
	}
	return [][]Remote{sameRegion, otherRegions}
}

// Batcher returns the linked peer of this failure domain that batches a claim partition, or false if this VM does. VMs that
// see different peers may choose different batchers; claims stay correct, as the order of the log decides.
func (n *Node) Batcher(partition int) (Batcher, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := strconv.Itoa(partition)
	best, least := (*Link)(nil), hashWeight(key, n.name)
	for name, l := range n.links {
		if l.link.vm.FailureDomain != n.domain || !l.link.Alive() {
			continue
		}
		if w := hashWeight(key, name); w < least {
			best, least = l.link, w
		}
	}
	return Batcher{link: best}, best != nil
}

// ShareDemand adds counts of calls to the next heartbeat to each peer of this failure domain.
func (n *Node) ShareDemand(counts map[string]uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.link.vm.FailureDomain == n.domain {
			l.link.addDemand(counts)
		}
	}
}

// CrossRegionBytes returns how many bytes of calls and answers this VM exchanged with other regions.
func (n *Node) CrossRegionBytes() uint64 { return n.crossRegionBytes.Load() }

// Bytes returns how many bytes of frames this VM exchanged on the links that it opened.
func (n *Node) Bytes() uint64 { return n.bytes.Load() }

// Alive returns the names of the linked peers that answer heartbeats and aren't stopping.
func (n *Node) Alive() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name, l := range n.links {
		if l.link.Alive() {
			names = append(names, name)
		}
	}
	return names
}
