package registry

import (
	"bytes"
	"compress/flate"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// configurationWait is how long one read waits for a configuration change. A change must be active within three seconds,
	// even if the store fails to end the wait or its response is lost; a lost response is noticed 1.5 s after the wait.
	configurationWait = 700 * time.Millisecond
	// pollInterval is the pause between two reads of the registrations; each runner renews its registration about every second.
	pollInterval = 700 * time.Millisecond
	// startLinkWait replaces both after the first read of a process: a link to the lease holder, which makes further reads
	// needless, is usually open by then.
	startLinkWait = 1500 * time.Millisecond
	// linkCheckInterval is the pause between two checks whether the link to the lease holder is still up.
	linkCheckInterval = 100 * time.Millisecond
	// noticeTime is how long it takes at most until a VM stops relying on a lease holder that fails or can't read the store, and
	// then to read the store itself.
	noticeTime = 2500 * time.Millisecond
	// minLinkLossWait is the shortest time for which a new link is awaited when one is lost. All VMs lose theirs at once when the
	// lease holder fails, so up to half of the time is random.
	minLinkLossWait = 300 * time.Millisecond
	// fullReadAfter is the time since the last read after which all registrations are read again in place of the changes: each
	// runner's renewals since then are more than one list of all runners.
	fullReadAfter = 4 * time.Second
	// maxReadAge is how old the newest read of a topic may be before this VM, as lease holder, counts as cut off from the store:
	// other VMs then read the store themselves. With the time for that, it must be shorter than the time within which a change
	// must be active.
	maxReadAge = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read, which doubles with each failure; maxStartBackoff replaces the
	// upper bound until this VM can serve requests.
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
	maxStartBackoff = 800 * time.Millisecond
	// settlePeriod is how long no new runner may appear before a starting system's list of runners counts as complete. Each
	// runner registers about every second, and all start at once.
	settlePeriod = 2500 * time.Millisecond
	// outageThreshold is the number of consecutive failed reads after which the store counts as unavailable.
	outageThreshold = 2
)

// Peers connects the watcher to the other entry VMs. Of all VMs, only the lease holder and those without a link to it read the
// store.
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
	// linkLossWait is how long a new link is awaited when one is lost, before this VM reads the store itself.
	linkLossWait time.Duration
	// firstStart reports that the whole system is starting for the first time, so that runners are still registering.
	firstStart bool
	mu         sync.Mutex
	// lastNewRunner is when the newest runner appeared.
	lastNewRunner time.Time
	// configurationReadAt and runnersReadAt are when the newest successful read of each topic ended, or when this VM was last
	// linked to the lease holder and need not read it.
	configurationReadAt time.Time
	runnersReadAt       time.Time
}

// EncodedConfiguration is an encoded configuration, as stored, with its version.
type EncodedConfiguration struct {
	Version uint64
	Encoded []byte
	// Compressed returns the configuration in DEFLATE format; it is compressed once, for all VMs that request it.
	Compressed func() []byte
}

// Options configures a watcher.
type Options struct {
	// FirstStart reports that the whole system is starting for the first time. Otherwise, the first list of runners counts as
	// complete at once.
	FirstStart bool
	// ChangeWithin is the time within which a change must be known here after the store has accepted it.
	ChangeWithin time.Duration
}

// New returns a watcher; the caller runs WatchConfiguration and WatchRunners.
func New(source Source, active *catalog.Active, r *roster.Roster, peers Peers, options Options, clock clockwork.Clock, logger *slog.Logger) *Watcher {
	return &Watcher{
		source:       source,
		active:       active,
		roster:       r,
		peers:        peers,
		firstStart:   options.FirstStart,
		linkLossWait: max(options.ChangeWithin-noticeTime, minLinkLossWait),
		clock:        clock,
		logger:       logger,
	}
}

// Ready reports whether there is an active configuration and the registrations have been read.
func (w *Watcher) Ready() bool { return w.active.Current() != nil && w.runnersRead.Load() }

// RunnersComplete reports whether the list of runners is complete, so that a model that no listed runner holds is really
// missing.
func (w *Watcher) RunnersComplete() bool { return w.runnersComplete.Load() }

// StoreUnavailable reports whether the store currently fails reads of the registrations.
func (w *Watcher) StoreUnavailable() bool { return w.storeUnavailable.Load() }

// ReadsOverdue reports whether the newest read of either topic is so old that other VMs can't rely on this one to read the
// store for them. It is meaningful only on the lease holder, as other VMs need not read.
func (w *Watcher) ReadsOverdue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	return now.Sub(w.configurationReadAt) > maxReadAge || now.Sub(w.runnersReadAt) > maxReadAge
}

func (w *Watcher) recordRead(at *time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*at = w.clock.Now()
}

// NewestConfiguration returns the newest configuration as stored, or nil if there is none.
func (w *Watcher) NewestConfiguration() *EncodedConfiguration { return w.newest.Load() }

// WatchConfiguration watches the configuration until the context ends.
func (w *Watcher) WatchConfiguration(ctx context.Context) error {
	c := w.newCursor()
	for ctx.Err() == nil {
		if c.synced {
			// The holder's heartbeats carry the version of its configuration, so a new link needs no read.
			w.waitWhileCovered(ctx, &w.configurationReadAt, w.linkedToHolder)
		}
		read, err := w.readConfiguration(ctx, c)
		if err != nil {
			c.failed(ctx, err)
			continue
		}
		first := !c.synced
		c.succeeded(read.Next)
		w.recordRead(&w.configurationReadAt)
		w.logSkipped(read.Skipped)
		if read.Catalog != nil {
			w.activate(read.Catalog, read.Encoded, "Store")
		}
		if first {
			w.awaitLink(ctx, startLinkWait)
		}
	}
	return nil
}

func (w *Watcher) readConfiguration(ctx context.Context, c *cursor) (Configuration, error) {
	if !c.synced {
		return w.source.Configuration(ctx)
	}
	return w.source.ConfigurationAfter(ctx, c.next, configurationWait)
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
		Version:    c.Version,
		Encoded:    encoded,
		Compressed: sync.OnceValue(func() []byte { return deflate(encoded) }),
	})
	event.ConfigurationInForce.Log(w.logger, slog.Uint64("Version", c.Version), slog.String("From", from),
		slog.Int("Routes", len(c.Routes())))
}

func deflate(content []byte) []byte {
	var compressed bytes.Buffer
	// Writes to a buffer don't fail, and the level is valid.
	writer, _ := flate.NewWriter(&compressed, flate.DefaultCompression)
	_, _ = writer.Write(content)
	_ = writer.Close()
	return compressed.Bytes()
}

func (w *Watcher) logSkipped(skipped []SkippedRecord) {
	for _, s := range skipped {
		event.RecordSkipped.Log(w.logger, slog.String("Key", s.Key), slog.Uint64("Offset", uint64(s.Offset)), event.Error(s.Reason))
	}
}
