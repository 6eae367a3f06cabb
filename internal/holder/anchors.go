package holder

import (
	"context"
	"errors"

	"github.com/cowsliparch/cowsliparch/internal/anchor"
	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// barrier shuts out takes that former holders of the shard may still have on their way, and reports whether it stands.
func (d *duty) barrier(ctx context.Context) bool {
	if d.Anchors.State().Barrier(d.shard) >= d.fence {
		return true
	}
	state, err := d.submitAnchor(ctx, anchor.BarrierKind, anchor.Barrier{
		Shard: d.shard,
		Fence: d.fence,
	})
	return err == nil && state.Barrier(d.shard) >= d.fence
}

// take moves to this shard the anchors of the models at home here, once a replica of each is certain.
func (d *duty) take(ctx context.Context, endpoints []*directory.Endpoint) {
	homes, _ := d.currentHomes(d.Configuration())
	certain := d.certain(endpoints)
	state := d.Anchors.State()
	from := make(map[string]string)
	for model, home := range homes {
		held, known := state.Anchor(model)
		if certain[model] > 0 && held != d.shard && (home.Anchor == d.shard || !known) {
			from[model] = held
		}
	}
	if len(from) == 0 {
		return
	}
	_, err := d.submitAnchor(ctx, anchor.TakeKind, anchor.Take{
		Shard: d.shard,
		Fence: d.fence,
		From:  from,
	})
	var unavailable *logservice.UnavailableError
	if err == nil || errors.As(err, &unavailable) {
		return
	}
	// The take may still arrive, at any time, and make a replica here an anchor. Only a barrier under a newer lease shuts
	// it out, so this one is given up.
	d.release()
}

// certain counts the replicas of each model that serve and that no open order can take away.
func (d *duty) certain(endpoints []*directory.Endpoint) map[string]int {
	book := d.Fleet.State().Ledger()
	counts := make(map[string]int)
	for _, e := range endpoints {
		if e.Leaving() {
			continue
		}
		reported, _ := e.Reported()
		for _, account := range book.Accounts(e.VM.Name, reported.Report, d.past(e)) {
			for model, status := range account.Models {
				if status.Certain() {
					counts[model]++
				}
			}
		}
	}
	return counts
}

func (d *duty) submitAnchor(ctx context.Context, kind record.Kind, body any) (anchor.State, error) {
	envelope, err := record.New(kind, body)
	if err != nil {
		return d.Anchors.State(), err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	state, _, err := d.Anchors.Submit(ctx, envelope)
	return state, err
}
