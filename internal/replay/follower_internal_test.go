package replay

import (
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// offsetState is a state that only has the offset of the last record.
type offsetState struct{ lastOffset logservice.Offset }

func (s offsetState) Apply(record logservice.Record) (offsetState, error) {
	return offsetState{lastOffset: record.Offset}, nil
}
func (s offsetState) LastOffset() logservice.Offset                { return s.lastOffset }
func (s offsetState) Snapshot() (record.Envelope, bool)            { return record.Envelope{}, false }
func (s offsetState) Restore(record.Envelope) (offsetState, error) { return s, nil }

// A record that is applied between the reads of the state and of the cursor must be in the returned state.
func TestWaitOutcomeReturnsStateThatMetCondition(t *testing.T) {
	follower := NewFollower(offsetState{}, nil, "s", clockwork.NewFakeClock(), slog.New(slog.DiscardHandler))
	state, _, err := follower.waitOutcome(t.Context(), "id", func(offsetState) bool {
		follower.Adopt(offsetState{lastOffset: 5})
		return follower.Cursor().LastOffset() >= 5
	})
	require.NoError(t, err)
	require.EqualValues(t, 5, state.lastOffset)
}
