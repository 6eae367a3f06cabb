package dispatch

import "time"

const (
	// crossDomainRoundTrip is the round-trip time to another failure domain of the same region.
	crossDomainRoundTrip = 3 * time.Millisecond
	// crossRegionRoundTrip is the round-trip time to another region.
	crossRegionRoundTrip = 60 * time.Millisecond
)

// RoundTrips gives the round-trip times from this VM's failure domain to the others.
type RoundTrips struct {
	// FailureDomain is the one that this VM is in.
	FailureDomain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
}

// RoundTrip returns the round-trip time to a failure domain.
func (r RoundTrips) RoundTrip(domain string) time.Duration {
	switch {
	case domain == r.FailureDomain:
		return 0
	case r.Regions[domain] == r.Regions[r.FailureDomain]:
		return crossDomainRoundTrip
	default:
		return crossRegionRoundTrip
	}
}
