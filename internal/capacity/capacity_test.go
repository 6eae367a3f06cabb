package capacity_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/capacity"
)

func TestSlopesHaveFourSizes(t *testing.T) {
	clock := clockwork.NewRealClock()
	took, held, bytes := capacity.ConfigurationFold(clock)
	for _, s := range []capacity.Series{capacity.Choice(clock), capacity.Admission(clock), took, held, bytes} {
		require.GreaterOrEqual(t, len(s.Points), 4, s.Name)
		for _, p := range s.Points {
			require.NotZero(t, p.Value, s.Name)
		}
	}
}
