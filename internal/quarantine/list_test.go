package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

func TestQuarantineLastsFromLastRequest(t *testing.T) {
	l := quarantine.NewList()
	l.Convict("s", at(0))
	require.Equal(t, []string{"s"}, l.Active(at(599)))
	l.Requested("s", at(300))
	require.Equal(t, []string{"s"}, l.Active(at(899)))
	require.Empty(t, l.Active(at(901)))
	for _, minutes := range []int{20, 40, 60, 60} {
		l.Convict("s", at(1000))
		e, ok := l.Entry("s")
		require.True(t, ok)
		require.Equal(t, time.Duration(minutes)*time.Minute, e.Expiry().Sub(at(1000)))
	}
	require.Empty(t, l.Entries(at(48*3600)))
}

func TestReleaseForgetsConvictions(t *testing.T) {
	l := quarantine.NewList()
	l.Release("unknown", at(0))
	l.Convict("s", at(0))
	l.Convict("s", at(1))
	l.Release("s", at(2))
	require.Empty(t, l.Active(at(3)))
	l.Convict("s", at(4))
	e, _ := l.Entry("s")
	require.Equal(t, 1, e.Convictions)
	require.True(t, e.ActiveAt(at(5)))
}

func TestMerge(t *testing.T) {
	convicted := quarantine.Entry{Section: "s", Convictions: 1, ConvictedAt: at(10), RequestedAt: at(10)}
	released := quarantine.Entry{Section: "s", Convictions: 1, ConvictedAt: at(10), ReleasedAt: at(20), RequestedAt: at(10)}
	again := quarantine.Entry{Section: "s", Convictions: 1, ConvictedAt: at(30), RequestedAt: at(30)}
	expired := quarantine.Entry{Section: "s", Convictions: 1, ConvictedAt: at(-1000), RequestedAt: at(-1000)}
	for name, test := range map[string]struct {
		known  []quarantine.Entry
		merged quarantine.Entry
		want   bool
		active bool
	}{
		"new":                       {merged: convicted, want: true, active: true},
		"new but expired":           {merged: expired},
		"new but released":          {merged: released},
		"known":                     {known: []quarantine.Entry{convicted}, merged: convicted, active: true},
		"release of a known one":    {known: []quarantine.Entry{convicted}, merged: released, want: true},
		"a release is not undone":   {known: []quarantine.Entry{convicted, released}, merged: convicted},
		"conviction after release":  {known: []quarantine.Entry{released}, merged: again, want: true, active: true},
		"release of an earlier one": {known: []quarantine.Entry{again}, merged: released, active: true},
		"expired here, not there":   {known: []quarantine.Entry{expired}, merged: convicted, want: true, active: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := quarantine.NewList()
			for _, e := range test.known {
				l.Merge(e, at(40))
			}
			require.Equal(t, test.want, l.Merge(test.merged, at(40)))
			require.Equal(t, test.active, len(l.Active(at(40))) == 1)
		})
	}
}

func TestListIsBounded(t *testing.T) {
	l := quarantine.NewList()
	for i := range 300 {
		l.Convict(fmt.Sprintf("s%d", i), at(float64(i)))
	}
	require.Len(t, l.Entries(at(300)), 256)
	_, kept := l.Entry("s0")
	require.False(t, kept)
}

// A section that was convicted wrongly must not stay in quarantine for ever because its requests keep arriving.
func TestQuarantineEndsAlthoughRequestsArrive(t *testing.T) {
	l := quarantine.NewList()
	l.Convict("sound", at(0))
	minutes := 0
	for ; minutes < 24*60 && l.ActiveAt("sound", at(float64(minutes*60))); minutes++ {
		l.Requested("sound", at(float64(minutes*60)))
	}
	require.Equal(t, 60, minutes)
}
