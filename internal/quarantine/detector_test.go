package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

var start = time.Date(2026, 12, 5, 5, 0, 0, 0, time.UTC)

// at returns a time after the start of a test.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// strike returns a strike at an incarnation of its own.
func strike(runner string, sent, brokeOff float64, sections ...string) quarantine.Strike {
	return quarantine.Strike{
		Incarnation: quarantine.Incarnation{Runner: runner},
		Sections:    sections,
		SentAt:      at(sent),
		At:          at(brokeOff),
	}
}

func success(sent, begun float64, sections ...string) quarantine.Success {
	return quarantine.Success{
		Sections: sections,
		SentAt:   at(sent),
		At:       at(begun),
	}
}

// convictions feeds strikes to a detector and returns what it convicts.
func convictions(d *quarantine.Detector, strikes ...quarantine.Strike) []string {
	var convicted []string
	for _, s := range strikes {
		d.Record(s)
		more, _ := d.Judge(s.At)
		convicted = append(convicted, more...)
	}
	return convicted
}

func TestConviction(t *testing.T) {
	for name, test := range map[string]struct {
		strikes []quarantine.Strike
		want    []string
	}{
		"three consecutive crashes": {
			strikes: []quarantine.Strike{
				strike("r1", 0, 1, "deadly"),
				strike("r2", 2, 3, "deadly"),
				strike("r3", 4, 5, "deadly"),
			},
			want: []string{"deadly"},
		},
		"two crashes are not enough": {
			strikes: []quarantine.Strike{
				strike("r1", 0, 1, "deadly"),
				strike("r2", 2, 3, "deadly"),
			},
		},
		"a fault of many runners counts once": {
			strikes: []quarantine.Strike{
				strike("r1", 0, 1, "sound"),
				strike("r2", 0.2, 1, "sound"),
				strike("r3", 0.4, 1.01, "sound"),
				strike("r4", 0.6, 1.02, "sound"),
				strike("r5", 1.1, 1.2, "sound"),
			},
		},
		"an incarnation counts once": {
			strikes: []quarantine.Strike{
				strike("r1", 0, 1, "sound"),
				strike("r1", 2, 3, "sound"),
				strike("r1", 4, 5, "sound"),
				strike("r1", 6, 7, "sound"),
			},
		},
		"evidence arrives in any order": {
			strikes: []quarantine.Strike{
				strike("r3", 4, 5, "deadly"),
				strike("r1", 0, 1, "deadly"),
				strike("r2", 2, 3, "deadly"),
			},
			want: []string{"deadly"},
		},
		"the section common to all crashes": {
			strikes: []quarantine.Strike{
				strike("r1", 0, 1, "sound-1", "deadly"),
				strike("r2", 2, 3, "sound-2", "deadly"),
				strike("r3", 4, 5, "sound-3", "deadly"),
			},
			want: []string{"deadly"},
		},
		"undecided while another section was at all crashes": {
			strikes: []quarantine.Strike{
				strike("r1", 0, 1, "deadly", "sound"),
				strike("r2", 2, 3, "deadly", "sound"),
				strike("r3", 4, 5, "deadly", "sound"),
			},
		},
		"the later of two that are always together": {
			strikes: []quarantine.Strike{
				strike("r1", 0, 1, "shared", "deadly"),
				strike("r2", 2, 3, "shared", "deadly"),
				strike("r3", 4, 5, "shared", "deadly"),
				strike("r4", 6, 7, "shared", "deadly"),
				strike("r5", 8, 9, "shared", "deadly"),
			},
			want: []string{"deadly"},
		},
		"the one at more crashes, although it comes first": {
			strikes: []quarantine.Strike{
				strike("r1", 0, 1, "deadly", "sound"),
				strike("r2", 2, 3, "deadly", "sound"),
				strike("r3", 4, 5, "deadly", "sound"),
				strike("r4", 6, 7, "deadly"),
				strike("r5", 8, 9, "deadly"),
			},
			want: []string{"deadly"},
		},
		"strikes at long intervals": {
			strikes: []quarantine.Strike{
				strike("r1", 0, 1, "sound"),
				strike("r2", 700, 701, "sound"),
				strike("r3", 1400, 1401, "sound"),
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, convictions(quarantine.NewDetector(), test.strikes...))
		})
	}
}

// A success decides between two sections as soon as it is known, whether before or after the strikes.
func TestSuccessClearsSection(t *testing.T) {
	d := quarantine.NewDetector()
	require.Empty(t, convictions(d, strike("r1", 0, 1, "popular", "deadly"), strike("r2", 2, 3, "popular", "deadly")))
	_, suspects := d.Watched(at(3))
	require.ElementsMatch(t, []string{"popular", "deadly"}, suspects)
	require.Empty(t, d.Success(success(3.5, 3.6, "popular")))
	watched, suspects := d.Watched(at(4))
	require.Equal(t, []string{"deadly"}, suspects)
	require.Equal(t, []string{"deadly"}, watched)
	require.Empty(t, convictions(d, strike("r0", -2, -1, "popular")), "older than the success")
	require.Equal(t, []string{"deadly"}, convictions(d, strike("r3", 4, 5, "popular", "deadly")))
	require.False(t, d.Convicted("popular"))
}

// A request that was sent before the first crash and is answered after it clears its sections too.
func TestLongWaitClearsSection(t *testing.T) {
	d := quarantine.NewDetector()
	convictions(d, strike("r1", 0, 1, "sound"), strike("r2", 2, 3, "sound"))
	require.Empty(t, d.Success(success(0.5, 3.1, "sound")))
	watched, _ := d.Watched(at(4))
	require.Equal(t, []string{"sound"}, watched, "the answer may have begun before the second crash")
	require.Empty(t, d.Success(success(0.5, 3.5, "sound")))
	watched, _ = d.Watched(at(4))
	require.Empty(t, watched)
}

// Crashes at which a convicted section was pending do not count for others, whether reported before or after the conviction.
func TestConvictionExplainsCrashes(t *testing.T) {
	d := quarantine.NewDetector()
	require.Equal(t, []string{"deadly"}, convictions(d,
		strike("r1", 0, 1, "a", "deadly"),
		strike("r1", 0, 1, "b"),
		strike("r2", 2, 3, "deadly"),
		strike("r2", 2, 3, "c"),
		strike("r3", 4, 5, "d", "deadly"),
	))
	watched, _ := d.Watched(at(5))
	require.Empty(t, watched)
	require.Empty(t, convictions(d,
		strike("r3", 4, 5, "b"),
		strike("r4", 6, 7, "b"),
		strike("r4", 6, 7, "deadly"),
		strike("r5", 8, 9, "deadly", "b"),
		strike("r6", 10, 11, "b"),
	))
	require.False(t, d.Convicted("b"))
	require.Equal(t, []string{"b"}, convictions(d, strike("r7", 12, 13, "b"), strike("r8", 14, 15, "b")), "crashes without the convicted section count")
}

func TestSuccessRefutesConviction(t *testing.T) {
	for name, test := range map[string]struct {
		answer quarantine.Success
		want   []string
	}{
		"sent before the first strike":        {answer: success(0, 0.5, "s")},
		"sent before the conviction":          {answer: success(1.5, 2, "s"), want: []string{"s"}},
		"begun after the conviction":          {answer: success(0, 6, "s"), want: []string{"s"}},
		"sent after the conviction":           {answer: success(6, 6.1, "s"), want: []string{"s"}},
		"another section":                     {answer: success(6, 6.1, "t")},
		"begun shortly after the first crash": {answer: success(0, 1.1, "s")},
	} {
		t.Run(name, func(t *testing.T) {
			d := quarantine.NewDetector()
			require.Equal(t, []string{"s"}, convictions(d, strike("r1", 0, 1, "s"), strike("r2", 2, 3, "s"), strike("r3", 4, 5, "s")))
			require.Equal(t, test.want, d.Success(test.answer))
			require.Equal(t, test.want == nil, d.Convicted("s"))
		})
	}
}

func TestSuccessRefutesAdoptedConviction(t *testing.T) {
	d := quarantine.NewDetector()
	d.Adopt("s", at(5))
	require.Empty(t, d.Success(success(4, 5.1, "s")))
	require.Empty(t, convictions(d, strike("r1", 6, 7, "s", "t")))
	watched, _ := d.Watched(at(7))
	require.Empty(t, watched, "the conviction explains the crash")
	require.Empty(t, d.Success(success(6, 8, "s")), "the section may crash runners after their first data")
	require.Equal(t, []string{"s"}, d.Success(proven(6, 8, "s")))
}

// Connections that broke off although their runner runs on are no crash.
func TestLivingRunnerRefutesStrikes(t *testing.T) {
	d := quarantine.NewDetector()
	require.Equal(t, []string{"s"}, convictions(d, strike("r1", 0, 1, "s"), strike("r2", 2, 3, "s"), strike("r3", 4, 5, "s")))
	require.Len(t, d.Crashed(at(0)), 3)
	require.Empty(t, d.Alive(quarantine.Incarnation{Runner: "r2"}, at(2.5)), "before the break-off")
	require.Empty(t, d.Alive(quarantine.Incarnation{Runner: "r2"}, at(4)), "two crashes remain")
	require.Equal(t, []string{"s"}, d.Alive(quarantine.Incarnation{Runner: "r1"}, at(4)))
	require.Empty(t, d.Alive(quarantine.Incarnation{Runner: "r9"}, at(4)))
	require.Len(t, d.Crashed(at(2)), 1)
	require.Empty(t, convictions(d, strike("r2", 2, 3.5, "s")))
	require.Len(t, d.Crashed(at(2)), 1)
}

// An incarnation that was cut off from a VM may crash later.
func TestRunnerCrashesAfterBreakOff(t *testing.T) {
	for name, alive := range map[string]bool{
		"known to run on":   true,
		"seen by the crash": false,
	} {
		t.Run(name, func(t *testing.T) {
			d := quarantine.NewDetector()
			convictions(d, strike("r1", 0, 1, "sound"), strike("r2", 2, 3, "sound"))
			if alive {
				d.Alive(quarantine.Incarnation{Runner: "r1"}, at(2))
				d.Alive(quarantine.Incarnation{Runner: "r2"}, at(4))
			}
			require.Equal(t, []string{"deadly"}, convictions(d,
				strike("r1", 10, 11, "deadly"),
				strike("r2", 12, 13, "deadly"),
				strike("r3", 14, 15, "deadly"),
			))
			watched, _ := d.Watched(at(15))
			require.Empty(t, watched)
		})
	}
}

// A section that was convicted on too little evidence is released once another one is convicted that was pending at its crashes.
func TestLaterConvictionReleasesInnocentSection(t *testing.T) {
	d := quarantine.NewDetector()
	require.Equal(t, []string{"sound"}, convictions(d,
		strike("r1", 0, 1, "sound"),
		strike("r1", 0, 1, "deadly"),
		strike("r2", 1.5, 2, "sound"),
		strike("r2", 0.5, 2, "deadly"),
		strike("r3", 2.5, 3, "sound"),
	))
	require.Empty(t, convictions(d, strike("r3", 0.5, 3, "deadly"), strike("r4", 4, 5, "deadly"), strike("r5", 6, 7, "deadly")))
	d.Record(strike("r6", 8, 9, "deadly"))
	convicted, released := d.Judge(at(9))
	require.Equal(t, []string{"deadly"}, convicted)
	require.Equal(t, []string{"sound"}, released)
}

func TestOneStrikeConvictsAgain(t *testing.T) {
	d := quarantine.NewDetector()
	d.Parole("s", at(0))
	require.False(t, d.Convicted("s"))
	require.Equal(t, []string{"s"}, convictions(d, strike("r1", 1, 2, "popular", "s")))
	require.False(t, d.Convicted("popular"))
	d.Release("s")
	require.Empty(t, convictions(d, strike("r2", 3, 4, "s")))
}

func TestMemoryIsBounded(t *testing.T) {
	d := quarantine.NewDetector()
	for i := range 3000 {
		sent := float64(i) / 10
		d.Record(strike(fmt.Sprintf("r%d", i), sent, sent+0.05, fmt.Sprintf("s%d", i), fmt.Sprintf("t%d", i)))
		d.Judge(at(sent))
	}
	watched, _ := d.Watched(at(300))
	require.Len(t, watched, 64)
	require.LessOrEqual(t, len(d.Crashed(at(0))), 512)
	require.Equal(t, []string{"t2999"}, convictions(d, strike("x", 301, 302, "t2999"), strike("y", 303, 304, "t2999")))
}
