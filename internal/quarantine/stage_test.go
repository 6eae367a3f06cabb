package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

// proven returns a success that shows that no section crashes runners after their first data.
func proven(sent, begun float64, sections ...string) quarantine.Success {
	s := success(sent, begun, sections...)
	s.Proven = true
	return s
}

// begun returns a strike at a runner that had begun to answer.
func begun(runner string, sent, brokeOff float64, sections ...string) quarantine.Strike {
	s := strike(runner, sent, brokeOff, sections...)
	s.Begun = true
	return s
}

// The first data of an answer must not clear a section that crashes runners right after it.
func TestFirstDataDoesNotClearSectionThatCrashesAfterIt(t *testing.T) {
	d := quarantine.NewDetector()
	crashes := []quarantine.Strike{
		begun("r1", 0, 1, "popular", "deadly"),
		begun("r2", 2, 3, "popular", "deadly"),
		begun("r3", 4, 5, "popular", "deadly"),
	}
	var convicted []string
	for _, s := range crashes {
		require.Empty(t, d.Success(success(s.SentAt.Sub(start).Seconds(), s.At.Sub(start).Seconds()-0.01, s.Sections...)))
		convicted = append(convicted, convictions(d, s)...)
		d.Success(proven(s.At.Sub(start).Seconds()+0.1, s.At.Sub(start).Seconds()+0.5, "popular"))
	}
	require.Equal(t, []string{"deadly"}, convicted)
	require.Empty(t, d.Success(success(6, 7, "deadly")))
	require.Equal(t, []string{"deadly"}, d.Success(proven(6, 7, "deadly")))
}

// Streams that had gone on for a while when their runner crashed must not be blamed for that.
func TestProgressTellsWhatMayCrashRunners(t *testing.T) {
	sent := quarantine.NewProgress(at(0))
	for name, test := range map[string]struct {
		progress quarantine.Progress
		brokeOff float64
		sound    bool
		mayCrash bool
	}{
		"no data":               {sent, 5, false, true},
		"at the first data":     {sent.WithData(at(2)), 2, false, true},
		"soon after":            {sent.WithData(at(2)).WithData(at(2.3)), 2.4, false, true},
		"silent after the data": {sent.WithData(at(2)), 4, false, false},
		"gone on":               {sent.WithData(at(2)).WithData(at(2.6)), 2.6, true, false},
		"whole":                 {sent.WithData(at(2)).WithEnd(at(2.1)), 2.1, true, false},
		"whole at once":         {sent.WithEnd(at(2)), 2, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.sound, test.progress.Sound())
			require.Equal(t, test.mayCrash, test.progress.MayCrash(at(test.brokeOff)))
		})
	}
}

// A link must carry in which stage of an answer a request broke off or succeeded.
func TestEvidenceKeepsStages(t *testing.T) {
	now := at(10)
	e := quarantine.Evidence{}.
		WithStrike(strike("r1", 1, 2, "a"), now).
		WithStrike(begun("r2", 3, 4, "b"), now).
		WithSuccess(success(5, 6, "c"), now).
		WithSuccess(proven(7, 8, "d"), now)
	later := now.Add(time.Second)
	strikes, successes := e.ReceivedStrikes(later), e.ReceivedSuccesses(later)
	require.Len(t, strikes, 2)
	require.False(t, strikes[0].Begun)
	require.True(t, strikes[1].Begun)
	require.Equal(t, at(5), strikes[1].At)
	require.Len(t, successes, 2)
	require.False(t, successes[0].Proven)
	require.True(t, successes[1].Proven)
	require.Equal(t, at(9), successes[1].At)
}
