package fleet

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/lease"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
	"github.com/cowsliparch/cowsliparch/internal/replay"
)

// State is the immutable state built from the records of one failure domain's stream.
type State struct {
	lastOffset logservice.Offset
	// now is the time of the log service at the last record; it never goes back.
	now    time.Time
	leases lease.Table
	ledger ledger.Ledger
}

// New returns the state before the first record.
func New() State {
	return State{
		ledger: ledger.New(),
	}
}

// LastOffset returns the offset of the last applied record.
func (s State) LastOffset() logservice.Offset { return s.lastOffset }

// Snapshot implements replay.State.
func (s State) Snapshot() (record.Envelope, bool) {
	envelope, err := record.New(replay.SnapshotKind, Snapshot{
		Through: s.lastOffset,
		Now:     s.now,
		Leases:  s.leases.All(),
		Books:   s.ledger.EndpointOrders(),
	})
	return envelope, err == nil
}

// Restore implements replay.State.
func (s State) Restore(e record.Envelope) (State, error) {
	snapshot, err := record.Body[Snapshot](e)
	if err != nil {
		return s, err
	}
	return State{
		lastOffset: snapshot.Through,
		now:        snapshot.Now,
		leases:     lease.FromLeases(snapshot.Leases),
		ledger:     ledger.FromEndpointOrders(snapshot.Books),
	}, nil
}

// Now returns the time of the log service at the last record.
func (s State) Now() time.Time { return s.now }

// Leases returns the latest lease of every shard.
func (s State) Leases() lease.Table { return s.leases }

// Ledger returns the orders of the failure domain.
func (s State) Ledger() ledger.Ledger { return s.ledger }

// Apply implements replay.State.
func (s State) Apply(r logservice.Record) (State, error) {
	if r.Offset <= s.lastOffset {
		return s, &record.OutOfOrderError{Offset: uint64(r.Offset), LastApplied: uint64(s.lastOffset)}
	}
	s.lastOffset = r.Offset
	if r.Time.After(s.now) {
		s.now = r.Time
	}
	envelope, err := record.Decode(r.Payload)
	if err != nil {
		return s, err
	}
	switch envelope.Kind {
	case ClaimKind:
		return s.withClaim(envelope)
	case RenewalKind:
		return s.withRenewal(envelope)
	case ReleaseKind:
		return s.withRelease(envelope)
	case IntentKind:
		return s.withIntent(envelope)
	case SettleKind:
		return s.withSettle(envelope)
	default:
		return s, &record.UnknownKindError{Kind: envelope.Kind}
	}
}

func (s State) withClaim(e record.Envelope) (State, error) {
	claim, err := record.Body[lease.Claim](e)
	if err != nil {
		return s, err
	}
	s.leases = s.leases.WithClaim(claim, s.lastOffset, s.now)
	return s, nil
}

func (s State) withRenewal(e record.Envelope) (State, error) {
	renewal, err := record.Body[lease.Renewal](e)
	if err != nil {
		return s, err
	}
	s.leases = s.leases.WithRenewal(renewal, s.now)
	return s, nil
}

func (s State) withRelease(e record.Envelope) (State, error) {
	release, err := record.Body[lease.Release](e)
	if err != nil {
		return s, err
	}
	s.leases = s.leases.WithRelease(release, s.now)
	return s, nil
}

func (s State) withIntent(e record.Envelope) (State, error) {
	intent, err := record.Body[ledger.Intent](e)
	if err != nil {
		return s, err
	}
	if !s.leases.Valid(intent.Shard, intent.Fence, s.now) {
		return s, &FencedError{Shard: intent.Shard, Fence: intent.Fence}
	}
	s.ledger, err = s.ledger.WithIntent(e.ID, intent, s.lastOffset, s.now)
	return s, err
}

func (s State) withSettle(e record.Envelope) (State, error) {
	settle, err := record.Body[Settle](e)
	if err != nil {
		return s, err
	}
	var skipReason error
	for _, settlement := range settle.Settlements {
		if s.ledger, err = s.ledger.WithSettlement(settlement); err != nil {
			skipReason = err
		}
	}
	for _, abandonment := range settle.Abandonments {
		if s.ledger, err = s.ledger.WithAbandonment(abandonment); err != nil {
			skipReason = err
		}
	}
	return s, skipReason
}
