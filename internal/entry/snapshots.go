package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/record"
	"github.com/cowsliparch/cowsliparch/internal/replay"
)

const (
	snapshotInterval = 5 * time.Second
	// snapshotJitterPerVM widens the random wait with the number of entry VMs, so that usually one VM appends a snapshot and
	// the others see it before their turn.
	snapshotJitterPerVM = 200 * time.Millisecond
	snapshotTimeout     = 5 * time.Second
)

// appendSnapshots appends snapshots of the states built from the log, before the log drops the records behind them.
func (e *Entry) appendSnapshots(ctx context.Context) error {
	for {
		wait := snapshotInterval + rand.N(snapshotJitterPerVM*time.Duration(1+len(e.entryVMs())))
		if !pause.For(ctx, e.Clock, wait) {
			return nil
		}
		minRecords := e.Settings.Control.SnapshotEvery
		appendSnapshot(ctx, e, e.configuration, minRecords)
		appendSnapshot(ctx, e, e.fleet, minRecords)
		appendSnapshot(ctx, e, e.anchors, minRecords)
	}
}

// appendSnapshot appends a snapshot if the stream has at least minRecords records since the last one and this VM's state
// misses none.
func appendSnapshot[S replay.State[S]](ctx context.Context, e *Entry, follower *replay.Follower[S], minRecords int) {
	cursor := follower.Cursor()
	if cursor.HasGap() || cursor.SinceSnapshot() < minRecords {
		return
	}
	envelope, ok := cursor.State().Snapshot()
	if !ok {
		return
	}
	submitSnapshot(ctx, e, follower, envelope)
}

func submitSnapshot[S replay.State[S]](ctx context.Context, e *Entry, follower *replay.Follower[S], envelope record.Envelope) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if _, offset, err := follower.Submit(ctx, envelope); err == nil {
		event.SnapshotAppended.Log(e.Logger, slog.String("Stream", follower.Stream()), slog.Uint64("Offset", uint64(offset)))
	}
}
