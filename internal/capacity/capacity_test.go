package capacity_test

import (
	"strconv"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/capacity"
)

func TestSlopesHaveFourSizes(t *testing.T) {
	clock := clockwork.NewRealClock()
	applyTime, heapSize, recordSize := capacity.ConfigurationFold(clock)
	for _, s := range []capacity.Series{capacity.Choice(clock), capacity.Admission(clock), applyTime, heapSize, recordSize} {
		require.GreaterOrEqual(t, len(s.Points), 4, s.Name)
		for _, p := range s.Points {
			require.NotZero(t, p.Value, s.Name)
		}
	}
}

// BenchmarkRelay reports the cost that an entry VM adds to concurrent streams.
func BenchmarkRelay(b *testing.B) {
	for _, streams := range []int{1, 100, 1000} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) {
			for b.Loop() {
				cost, err := capacity.Relay(clockwork.NewRealClock(), streams)
				require.NoError(b, err)
				b.ReportMetric(cost.AddedP50.Seconds()*1000, "added-p50-ms")
				b.ReportMetric(cost.AddedP99.Seconds()*1000, "added-p99-ms")
				b.ReportMetric(cost.MicrosPerToken, "us/token")
				b.ReportMetric(cost.KilobytesPerStream, "KB/stream")
			}
		})
	}
}
