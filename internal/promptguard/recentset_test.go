package promptguard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRecentSetForgets(t *testing.T) {
	s := newRecentSet(time.Minute)
	start := time.Unix(1000, 0)
	s.add([]string{"a"}, start)
	require.True(t, s.has("a"))
	require.False(t, s.has("b"))
	s.add([]string{"b"}, start.Add(61*time.Second))
	require.True(t, s.has("a"))
	s.add([]string{"c"}, start.Add(122*time.Second))
	require.False(t, s.has("a"))
	require.True(t, s.has("b"))
}

// A flood of sections must not make all others seem to be there.
func TestRecentSetStaysSparse(t *testing.T) {
	s := newRecentSet(time.Minute)
	now := time.Unix(1000, 0)
	s.add(unique("flood", 5*maxRecent), now)
	found := 0
	for _, key := range unique("other", 1000) {
		if s.has(key) {
			found++
		}
	}
	require.Less(t, found, 200)
}
