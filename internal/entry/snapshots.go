package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/fold"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

const (
	snapshotCheck = 5 * time.Second
	// snapshotSpread is the wait for each VM of the system, so that mostly one appends and the others see it done.
	snapshotSpread  = 200 * time.Millisecond
	snapshotTimeout = 5 * time.Second
)

// appendSnapshots repeats the folded states before the records behind them pass retention.
func (e *Entry) appendSnapshots(ctx context.Context) error {
	for {
		wait := snapshotCheck + rand.N(snapshotSpread*time.Duration(1+len(e.entries())))
		if !pause.For(ctx, e.Clock, wait) {
			return nil
		}
		every := e.Settings.Control.SnapshotEvery
		appendSnapshot(ctx, e, e.configuration, every)
		appendSnapshot(ctx, e, e.fleet, every)
		appendSnapshot(ctx, e, e.anchors, every)
	}
}

func appendSnapshot[S fold.State[S]](ctx context.Context, e *Entry, tail *fold.Tail[S], every int) {
	cursor := tail.Cursor()
	if cursor.Missed() || cursor.SinceSnapshot() < every {
		return
	}
	envelope, ok := cursor.State().Snapshot()
	if !ok {
		return
	}
	submitSnapshot(ctx, e, tail, envelope)
}

func submitSnapshot[S fold.State[S]](ctx context.Context, e *Entry, tail *fold.Tail[S], envelope record.Envelope) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if _, offset, err := tail.Submit(ctx, envelope); err == nil {
		event.SnapshotAppended.Log(e.Logger, slog.String("Stream", tail.Stream()), slog.Uint64("Offset", uint64(offset)))
	}
}
