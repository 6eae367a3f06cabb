package dispatch

import "time"

const (
	// crossDomainRoundTrip is the round-trip time to another failure domain of the same region.
	crossDomainRoundTrip = 3 * time.Millisecond
	// crossRegionRoundTrip is the round-trip time to another region.
	crossRegionRoundTrip = 60 * time.Millisecond
)

// Distances gives the round-trip times from this VM's failure domain to the others.
type Distances struct {
	// FailureDomain is the one that this VM is in.
	FailureDomain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
}

// RoundTrip returns the round-trip time to a failure domain.
func (d Distances) RoundTrip(domain string) time.Duration {
	switch {
	case domain == d.FailureDomain:
		return 0
	case d.Regions[domain] == d.Regions[d.FailureDomain]:
		return crossDomainRoundTrip
	default:
		return crossRegionRoundTrip
	}
}
