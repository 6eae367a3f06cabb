package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func findRate(rates []Rate, model, adapter string) Rate {
	for _, r := range rates {
		if r.Model == model && r.Adapter == adapter {
			return r
		}
	}
	return Rate{}
}

func TestMeterRates(t *testing.T) {
	now := time.Unix(0, 0)
	m := NewMeter(now)
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		m.RecordRequest("s", "m", "a1", now)
	}
	rates := m.Rates(now)
	require.InDelta(t, 20, findRate(rates, "m", "").Requests, 2)
	require.InDelta(t, 20, findRate(rates, "m", "a1").Requests, 2)
	now = now.Add(2 * time.Second)
	rates = m.Rates(now)
	require.Less(t, findRate(rates, "m", "").Requests, 5.0)
	require.Greater(t, findRate(rates, "m", "a1").Requests, 5.0, "adapter rates decay more slowly")
	require.Empty(t, m.Rates(now.Add(time.Hour)))
}

func TestMeterWorkByDurationAndLateness(t *testing.T) {
	now := time.Unix(0, 0)
	m := NewMeter(now)
	for range 200 {
		m.RecordDuration("s", "quick", 100*time.Millisecond, false)
		m.RecordDuration("s", "slow", time.Second, false)
		m.RecordDuration("s", "late", time.Second, true)
	}
	for _, model := range []string{"quick", "slow", "late"} {
		m.RecordRequest("s", model, "", now)
	}
	rates := m.Rates(now)
	quick, slow, late := findRate(rates, "quick", "").Work, findRate(rates, "slow", "").Work, findRate(rates, "late", "").Work
	require.InDelta(t, 10, slow/quick, 1)
	require.InDelta(t, 1+lateFactor, late/slow, 0.5)
}

func TestDemandReportsSumAndExpire(t *testing.T) {
	now := time.Unix(0, 0)
	r := newDemandReports()
	r.store("vm-1", []Rate{{Service: "s", Model: "m", Requests: 2, Work: 3}, {Service: "s", Model: "m", Adapter: "a1", Requests: 1, Work: 9}}, now)
	r.store("vm-2", []Rate{{Service: "s", Model: "m", Requests: 2, Work: 4}, {Service: "t", Model: "m", Work: 9}}, now.Add(time.Second))
	d, vms := r.demand("s", now.Add(time.Second))
	require.Equal(t, 2, vms)
	require.InDelta(t, 7, d.Work["m"], 0)
	require.InDelta(t, 1, d.Adapters["m"]["a1"], 0)
	d, vms = r.demand("s", now.Add(2500*time.Millisecond))
	require.Equal(t, 1, vms)
	require.InDelta(t, 4, d.Work["m"], 0)
}
