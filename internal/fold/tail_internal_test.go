package fold

import (
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// reached is a state that only knows how far it was folded.
type reached struct{ through logservice.Offset }

func (r reached) With(record logservice.Record) (reached, error) {
	return reached{through: record.Offset}, nil
}
func (r reached) Through() logservice.Offset               { return r.through }
func (r reached) Snapshot() (record.Envelope, bool)        { return record.Envelope{}, false }
func (r reached) Restore(record.Envelope) (reached, error) { return r, nil }

// A record that is folded between the look at the state and the look at the cursor must be in the state that is returned.
func TestWaitReturnsTheStateThatWasWaitedFor(t *testing.T) {
	tail := NewTail(reached{}, nil, "s", clockwork.NewFakeClock(), slog.New(slog.DiscardHandler))
	state, _, err := tail.waitFor(t.Context(), "id", func(reached) bool {
		tail.Adopt(reached{through: 5})
		return tail.Cursor().Through() >= 5
	})
	require.NoError(t, err)
	require.EqualValues(t, 5, state.through)
}
