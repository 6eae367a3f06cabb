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
	"github.com/cowsliparch/cowsliparch/internal/fold"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

const (
	// domainCost and regionCost are what a call pays to cross, there and back.
	domainCost = 3 * time.Millisecond
	regionCost = 60 * time.Millisecond
)

// Node keeps the links of one VM.
type Node struct {
	name        string
	incarnation string
	domain      string
	region      string
	heartbeat   time.Duration
	entries     func() []vmlist.VM
	tail        *fold.Tail[configuration.State]
	clock       clockwork.Clock
	logger      *slog.Logger

	crossed atomic.Uint64
	bytes   atomic.Uint64

	mu    sync.Mutex
	links map[string]*tracked
}

type tracked struct {
	link *Link
	stop context.CancelFunc
}

// Options names a VM and paces its heartbeats.
type Options struct {
	Name          string
	Incarnation   string
	FailureDomain string
	Region        string
	Heartbeat     time.Duration
}

// NewNode returns a node that links to the VMs that entries returns and hands what peers know to tail.
func NewNode(o Options, entries func() []vmlist.VM, tail *fold.Tail[configuration.State], clock clockwork.Clock, logger *slog.Logger) *Node {
	return &Node{
		name:        o.Name,
		incarnation: o.Incarnation,
		domain:      o.FailureDomain,
		region:      o.Region,
		heartbeat:   o.Heartbeat,
		entries:     entries,
		tail:        tail,
		clock:       clock,
		logger:      logger,
		links:       make(map[string]*tracked),
	}
}

// Run keeps the links in line with the VM list until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	var threads sync.WaitGroup
	defer threads.Wait()
	for {
		n.sync(ctx, &threads)
		if !pause.For(ctx, n.clock, n.heartbeat) {
			return nil
		}
	}
}

func (n *Node) sync(ctx context.Context, threads *sync.WaitGroup) {
	targets := Targets(n.name, n.domain, n.entries())
	n.mu.Lock()
	defer n.mu.Unlock()
	wanted := make(map[string]bool, len(targets))
	for _, vm := range targets {
		wanted[vm.Name] = true
		t, ok := n.links[vm.Name]
		if ok && t.link.vm == vm {
			continue
		}
		if ok {
			t.stop()
		}
		linked, stop := context.WithCancel(ctx)
		link := newLink(vm, n.cost(vm), n)
		n.links[vm.Name] = &tracked{
			link: link,
			stop: stop,
		}
		threads.Go(func() { link.run(linked) })
	}
	for name, t := range n.links {
		if !wanted[name] {
			t.stop()
			delete(n.links, name)
		}
	}
}

func (n *Node) cost(vm vmlist.VM) time.Duration {
	if vm.Region != n.region {
		return regionCost
	}
	return domainCost
}

// Serving implements modelcall.Neighbours: peers of other failure domains in this region, then across regions.
func (n *Node) Serving(model string) [][]Remote {
	n.mu.Lock()
	defer n.mu.Unlock()
	var near, far []Remote
	for _, t := range n.links {
		if t.link.vm.FailureDomain == n.domain {
			continue
		}
		if _, ok := t.link.predict(model); !ok {
			continue
		}
		remote := Remote{
			link:  t.link,
			model: model,
		}
		if t.link.vm.Region == n.region {
			near = append(near, remote)
		} else {
			far = append(far, remote)
		}
	}
	return [][]Remote{near, far}
}

// Batcher returns the linked peer of this failure domain that batches a partition, or false if this VM does. VMs that
// see different peers may choose differently; the order of the log decides all the same.
func (n *Node) Batcher(partition int) (Batcher, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := strconv.Itoa(partition)
	best, least := (*Link)(nil), weight(key, n.name)
	for name, t := range n.links {
		if t.link.vm.FailureDomain != n.domain || !t.link.Alive() {
			continue
		}
		if w := weight(key, name); w < least {
			best, least = t.link, w
		}
	}
	return Batcher{link: best}, best != nil
}

// Share adds demand to the next beat to every peer of this failure domain.
func (n *Node) Share(counts map[string]uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.links {
		if t.link.vm.FailureDomain == n.domain {
			t.link.demand(counts)
		}
	}
}

// CrossRegionBytes returns how many bytes of calls and answers this VM exchanged with other regions.
func (n *Node) CrossRegionBytes() uint64 { return n.crossed.Load() }

// Bytes returns how many bytes of frames this VM exchanged on the links that it opened.
func (n *Node) Bytes() uint64 { return n.bytes.Load() }

// Alive returns the names of the linked peers that answer.
func (n *Node) Alive() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name, t := range n.links {
		if t.link.Alive() {
			names = append(names, name)
		}
	}
	return names
}
