package capacity

import (
	"github.com/jonboulle/clockwork"
)

// Results holds all measured series, from which the costs on the page are computed.
type Results struct {
	Choice, Admission    Series
	ConfigurationFold    Series
	ConfigurationHeld    Series
	ConfigurationBytes   Series
	ClaimFold, ClaimHeld Series
	FleetFold, FleetHeld Series
	Tail                 Series
	Plan, Homes          Series
	// Near and Far are heartbeat links within a failure domain and between failure domains.
	NearBytes, NearWork     Series
	FarBytes, FarWork       Series
	ReportBytes, ReportWork Series
	RelayWork, RelayHeld    Series
	// RelayFirstP50 and RelayFirst are the median and the 99th percentile of the added time to the first token.
	RelayFirstP50, RelayFirst Series
}

// All returns all series in the order in which the page lists them.
func (r Results) All() []Series {
	return []Series{
		r.RelayWork, r.RelayHeld, r.RelayFirstP50, r.RelayFirst, r.Choice, r.Admission,
		r.ConfigurationFold, r.ConfigurationHeld, r.ConfigurationBytes,
		r.FleetFold, r.FleetHeld, r.Tail, r.Plan, r.Homes,
		r.ClaimFold, r.ClaimHeld,
		r.NearBytes, r.NearWork, r.FarBytes, r.FarWork, r.ReportBytes, r.ReportWork,
	}
}

// Measure measures all series; it takes about three minutes and needs an otherwise idle machine.
func Measure(clock clockwork.Clock, progress func(what string)) (Results, error) {
	var r Results
	var err error
	progress("decisions")
	r.Choice = Choice(clock)
	r.Admission = Admission(clock)
	r.Plan = Plan(clock)
	r.Homes = Homes(clock)
	progress("folds")
	r.ConfigurationFold, r.ConfigurationHeld, r.ConfigurationBytes = ConfigurationFold(clock)
	r.ClaimFold, r.ClaimHeld = ClaimFold(clock)
	r.FleetFold, r.FleetHeld = FleetFold(clock)
	progress("reading the log")
	if r.Tail, err = Tail(clock); err != nil {
		return r, err
	}
	progress("heartbeats")
	if r.NearBytes, r.NearWork, err = Links(clock, true); err != nil {
		return r, err
	}
	if r.FarBytes, r.FarWork, err = Links(clock, false); err != nil {
		return r, err
	}
	progress("reports")
	if r.ReportBytes, r.ReportWork, err = Reports(clock); err != nil {
		return r, err
	}
	progress("relay")
	err = r.measureRelay(clock)
	return r, err
}

func (r *Results) measureRelay(clock clockwork.Clock) error {
	var work, held, p50, p99 []Point
	for _, streams := range []int{50, 100, 200, 400} {
		cost, err := Relay(clock, streams)
		if err != nil {
			return err
		}
		size := float64(streams)
		tokens := size / relayTokenInterval.Seconds()
		work = append(work, Point{Size: tokens, Value: cost.MicrosPerToken * tokens / 1000})
		held = append(held, Point{Size: size, Value: cost.KilobytesPerStream * size})
		p50 = append(p50, Point{Size: size, Value: micros(cost.AddedP50) / 1000})
		p99 = append(p99, Point{Size: size, Value: micros(cost.AddedP99) / 1000})
	}
	r.RelayWork = newSeries("relay", "tokens a second", "ms/s", work)
	r.RelayHeld = newSeries("streams held", "streams", "KB", held)
	r.RelayFirstP50 = newSeries("added time to first token, p50", "streams", "ms", p50)
	r.RelayFirst = newSeries("added time to first token, p99", "streams", "ms", p99)
	return nil
}
