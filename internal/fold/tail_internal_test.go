package fold

import (
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// offsetState is a state that only has the offset of the last record.
type offsetState struct{ through logservice.Offset }

func (s offsetState) Apply(record logservice.Record) (offsetState, error) {
	return offsetState{through: record.Offset}, nil
}
func (s offsetState) Through() logservice.Offset                   { return s.through }
func (s offsetState) Snapshot() (record.Envelope, bool)            { return record.Envelope{}, false }
func (s offsetState) Restore(record.Envelope) (offsetState, error) { return s, nil }

// A record that is applied between the reads of the state and of the cursor must be in the returned state.
func TestWaitOutcomeReturnsStateThatMetCondition(t *testing.T) {
	tail := NewTail(offsetState{}, nil, "s", clockwork.NewFakeClock(), slog.New(slog.DiscardHandler))
	state, _, err := tail.waitOutcome(t.Context(), "id", func(offsetState) bool {
		tail.Adopt(offsetState{through: 5})
		return tail.Cursor().Through() >= 5
	})
	require.NoError(t, err)
	require.EqualValues(t, 5, state.through)
}
