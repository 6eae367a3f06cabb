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
	// configurationWait is how long one read waits for a configuration change. A change must be active within three seconds,
	// even if the store fails to end the wait or its answer is lost, which takes another 1.5 seconds.
	configurationWait = 700 * time.Millisecond
	// linkedConfigurationWait replaces configurationWait while the lease holder sends its configuration version twice a second,
	// and requests a newer one.
	linkedConfigurationWait = 20 * time.Second
	// pollInterval is the pause between two reads of the registrations; each runner renews its registration about every second.
	pollInterval = 700 * time.Millisecond
	// linkedPollInterval replaces pollInterval while the lease holder forwards what it reads. It can be long because a link
	// that loses a message is closed.
	linkedPollInterval = 6 * time.Second
	// linkCheckInterval is the pause between two checks whether the link to the lease holder is still up.
	linkCheckInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read, which doubles with each failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// settlePeriod is how long no new runner may appear before a starting system's list of runners counts as complete. Each
	// runner registers about every second, and all start at once.
	settlePeriod = 2500 * time.Millisecond
	// outageThreshold is the number of consecutive failed reads after which the store counts as unavailable.
	outageThreshold = 2
)

// Peers connects the watcher to the other entry VMs. Of all VMs, the lease holder reads the registrations most often.
type Peers interface {
	// LinkedToHolder reports whether the lease holder forwards what it reads to this VM, and returns the number of links opened
	// so far: what the holder forwarded before the current link was opened may be missing here.
	LinkedToHolder() (link uint64, ok bool)
	// ForwardChanges sends changes that were read here to the other VMs, if this VM holds the lease.
	ForwardChanges(changes []roster.Change)
}

// Watcher watches the source and keeps the active catalog and the roster up to date.
type Watcher struct {
	source Source
	active *catalog.Active
	roster *roster.Roster
	peers  Peers
	clock  clockwork.Clock
	logger *slog.Logger
	// newest is the newest configuration as stored.
	newest atomic.Pointer[EncodedConfiguration]
	// runnersRead is set once the registrations have been read.
	runnersRead      atomic.Bool
	storeUnavailable atomic.Bool
	// runnersComplete is set once the list of runners is complete.
	runnersComplete atomic.Bool
	// firstStart reports that the whole system is starting for the first time, so that runners are still registering.
	firstStart bool
	mu         sync.Mutex
	// lastNewRunner is when the newest runner appeared.
	lastNewRunner time.Time
}

// EncodedConfiguration is an encoded configuration, as stored, with its version.
type EncodedConfiguration struct {
	Version uint64
	Encoded []byte
}

// New returns a watcher; the caller runs WatchConfiguration and WatchRunners. Unless firstStart is set, the first list of
// runners counts as complete at once.
func New(source Source, active *catalog.Active, r *roster.Roster, peers Peers, firstStart bool, clock clockwork.Clock, logger *slog.Logger) *Watcher {
	return &Watcher{
		source:     source,
		active:     active,
		roster:     r,
		peers:      peers,
		firstStart: firstStart,
		clock:      clock,
		logger:     logger,
	}
}

// Ready reports whether there is an active configuration and the registrations have been read.
func (w *Watcher) Ready() bool { return w.active.Current() != nil && w.runnersRead.Load() }

// RunnersComplete reports whether the list of runners is complete, so that a model that no listed runner holds is really
// missing.
func (w *Watcher) RunnersComplete() bool { return w.runnersComplete.Load() }

// StoreUnavailable reports whether the store currently fails reads of the registrations.
func (w *Watcher) StoreUnavailable() bool { return w.storeUnavailable.Load() }

// NewestConfiguration returns the newest configuration as stored, or nil if there is none.
func (w *Watcher) NewestConfiguration() *EncodedConfiguration { return w.newest.Load() }

// WatchConfiguration watches the configuration until the context ends.
func (w *Watcher) WatchConfiguration(ctx context.Context) error {
	c := w.newCursor()
	for ctx.Err() == nil {
		read, err := w.readConfiguration(ctx, c)
		if err != nil {
			c.failed(ctx, err)
			continue
		}
		c.succeeded(read.Next)
		w.logSkipped(read.Skipped)
		if read.Catalog == nil {
			w.waitForConfiguration(ctx)
			continue
		}
		w.activate(read.Catalog, read.Encoded, "Store")
	}
	return nil
}

func (w *Watcher) readConfiguration(ctx context.Context, c *cursor) (Configuration, error) {
	if !c.synced {
		return w.source.Configuration(ctx)
	}
	if _, linked := w.peers.LinkedToHolder(); !linked {
		return w.source.ConfigurationAfter(ctx, c.next, configurationWait)
	}
	return w.readWhileLinked(ctx, c.next)
}

// readWhileLinked waits long for a configuration change, but no longer than the link to the lease holder is up.
func (w *Watcher) readWhileLinked(ctx context.Context, next logservice.Offset) (Configuration, error) {
	linkedCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for linkedCtx.Err() == nil {
			if _, linked := w.peers.LinkedToHolder(); !linked {
				return
			}
			pause.For(linkedCtx, w.clock, linkCheckInterval)
		}
	}()
	read, err := w.source.ConfigurationAfter(linkedCtx, next, linkedConfigurationWait)
	if err != nil && linkedCtx.Err() != nil && ctx.Err() == nil {
		return Configuration{Next: next}, nil
	}
	return read, err
}

// waitForConfiguration spaces reads while there is no configuration at all.
func (w *Watcher) waitForConfiguration(ctx context.Context) {
	if w.active.Current() == nil {
		pause.For(ctx, w.clock, minBackoff)
	}
}

// AdoptConfiguration activates a configuration that a peer sent if it is newer; it fails if the configuration can't be
// decoded.
func (w *Watcher) AdoptConfiguration(encoded []byte) error {
	decoded, err := w.source.DecodeConfiguration(encoded)
	if err != nil {
		return err
	}
	w.activate(decoded, encoded, "Peer")
	return nil
}

func (w *Watcher) activate(c *catalog.Catalog, encoded []byte, from string) {
	if !w.active.SetIfNewer(c) {
		return
	}
	w.newest.Store(&EncodedConfiguration{
		Version: c.Version,
		Encoded: encoded,
	})
	event.ConfigurationInForce.Log(w.logger, slog.Uint64("Version", c.Version), slog.String("From", from),
		slog.Int("Routes", len(c.Routes())))
}

func (w *Watcher) logSkipped(skipped []SkippedRecord) {
	for _, s := range skipped {
		event.RecordSkipped.Log(w.logger, slog.String("Key", s.Key), slog.Uint64("Offset", uint64(s.Offset)), event.Error(s.Reason))
	}
}
