package registry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// configurationWait is how long one read waits for a change of the configuration. A change must be in force within three
	// seconds also if the store fails to end the wait, or the answer is lost, which takes another second and a half.
	configurationWait = 700 * time.Millisecond
	// linkedWait is the same while the holder of the lease tells its version twice a second, and asks for a newer one.
	linkedWait = 20 * time.Second
	// runnersPause is the pause between two reads of the registrations; each runner registers anew about every second.
	runnersPause = 700 * time.Millisecond
	// linkedPause is the same while the holder of the lease tells what it reads; a link that misses a word is closed.
	linkedPause = 6 * time.Second
	// linkLook is the pause between two looks whether the holder still does.
	linkLook = 100 * time.Millisecond
	// firstPause and lastPause bound the pause after a failed read, which doubles.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// settleTime is how long after the last new runner the list of a starting system counts as whole; each runner registers
	// about every second, and all start at once.
	settleTime = 2500 * time.Millisecond
	// outageAfter is how many reads in a row must fail before the store counts as out.
	outageAfter = 2
)

// Peers is the other entry VMs, of which the holder of the lease for orders reads the registrations most often.
type Peers interface {
	// Linked reports whether the holder tells this VM what it reads, and counts the links: what it told before the present one was
	// opened may be missing here.
	Linked() (link uint64, ok bool)
	// Forward hands on what was read here, if this VM is the holder.
	Forward(changes []roster.Change)
}

// Watcher follows the source and keeps the catalog in force and the roster.
type Watcher struct {
	source  Source
	inForce *catalog.InForce
	roster  *roster.Roster
	peers   Peers
	clock   clockwork.Clock
	logger  *slog.Logger
	// encoded is the newest configuration as it lies in the store.
	encoded atomic.Pointer[Versioned]
	// runnersRead is set once the registrations were read.
	runnersRead atomic.Bool
	out         atomic.Bool
	// settled is set once no new runner was seen for settleTime; newest is when the last one was.
	settled atomic.Bool
	first   bool
	mu      sync.Mutex
	newest  time.Time
}

// Versioned is a configuration in the store's own form.
type Versioned struct {
	Version uint64
	Encoded []byte
}

// New returns a watcher; its threads are RunConfiguration and RunRunners. A list that is read when the system started long
// before counts as whole at once.
func New(source Source, inForce *catalog.InForce, r *roster.Roster, peers Peers, firstStart bool, clock clockwork.Clock, logger *slog.Logger) *Watcher {
	return &Watcher{
		source:  source,
		inForce: inForce,
		roster:  r,
		peers:   peers,
		first:   firstStart,
		clock:   clock,
		logger:  logger,
	}
}

// Ready reports whether a configuration and the registrations were read.
func (w *Watcher) Ready() bool { return w.inForce.Current() != nil && w.runnersRead.Load() }

// Settled reports whether the list of runners is whole, so that what it lacks can be taken for missing.
func (w *Watcher) Settled() bool { return w.settled.Load() }

// Out reports whether the store does not answer reads of the registrations now.
func (w *Watcher) Out() bool { return w.out.Load() }

// Newest returns the newest configuration in the store's own form, or nil.
func (w *Watcher) Newest() *Versioned { return w.encoded.Load() }

// RunConfiguration follows the configuration until the context ends.
func (w *Watcher) RunConfiguration(ctx context.Context) error {
	at := w.newCursor()
	for ctx.Err() == nil {
		read, err := w.readConfiguration(ctx, at)
		if err != nil {
			at.failed(ctx, err)
			continue
		}
		at.advanced(read.Next)
		w.logSkipped(read.Skipped)
		if read.Catalog == nil {
			w.pauseWithout(ctx)
			continue
		}
		w.adopt(read.Catalog, read.Encoded, "Store")
	}
	return nil
}

func (w *Watcher) readConfiguration(ctx context.Context, at *cursor) (Configuration, error) {
	if !at.known {
		return w.source.Configuration(ctx)
	}
	if _, linked := w.peers.Linked(); !linked {
		return w.source.ConfigurationAfter(ctx, at.next, configurationWait)
	}
	return w.readLinked(ctx, at.next)
}

// readLinked waits long for a change, but no longer than the holder tells its version.
func (w *Watcher) readLinked(ctx context.Context, next logservice.Offset) (Configuration, error) {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for waiting.Err() == nil {
			if _, linked := w.peers.Linked(); !linked {
				return
			}
			pause.For(waiting, w.clock, linkLook)
		}
	}()
	read, err := w.source.ConfigurationAfter(waiting, next, linkedWait)
	if err != nil && waiting.Err() != nil && ctx.Err() == nil {
		return Configuration{Next: next}, nil
	}
	return read, err
}

// pauseWithout keeps reads apart while there is no configuration at all.
func (w *Watcher) pauseWithout(ctx context.Context) {
	if w.inForce.Current() == nil {
		pause.For(ctx, w.clock, firstPause)
	}
}

// Adopt takes in a configuration that a peer handed on; it fails if it can't be understood.
func (w *Watcher) Adopt(encoded []byte) error {
	decoded, err := w.source.DecodeConfiguration(encoded)
	if err != nil {
		return err
	}
	w.adopt(decoded, encoded, "Peer")
	return nil
}

func (w *Watcher) adopt(c *catalog.Catalog, encoded []byte, from string) {
	if !w.inForce.Adopt(c) {
		return
	}
	w.encoded.Store(&Versioned{
		Version: c.Version,
		Encoded: encoded,
	})
	event.ConfigurationInForce.Log(w.logger, slog.Uint64("Version", c.Version), slog.String("From", from),
		slog.Int("Routes", len(c.Routes())))
}

func (w *Watcher) logSkipped(skipped []Skipped) {
	for _, s := range skipped {
		event.RecordSkipped.Log(w.logger, slog.String("Key", s.Key), slog.Uint64("Offset", uint64(s.Offset)), event.Error(s.Reason))
	}
}
