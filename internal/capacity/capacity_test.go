package capacity_test

import (
	"os"
	"path/filepath"
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

func TestWriteReplacesTheGeneratedPart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	require.NoError(t, os.WriteFile(path, []byte("before\n"+capacity.BeginMark+"\nprevious run\n"+capacity.EndMark+"\nafter\n"), 0o644))
	require.NoError(t, capacity.Results{}.Write(path))
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Contains(t, string(page), "before\n")
	require.Contains(t, string(page), "\nafter\n")
	require.NotContains(t, string(page), "previous run")

	require.NoError(t, os.WriteFile(path, []byte("no marks"), 0o644))
	var mark *capacity.MarkError
	require.ErrorAs(t, capacity.Results{}.Write(path), &mark)
}
