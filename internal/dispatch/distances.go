package dispatch

import "time"

const (
	// domainDistance is the round trip to another failure domain of the same region.
	domainDistance = 3 * time.Millisecond
	// regionDistance is the round trip to another region.
	regionDistance = 60 * time.Millisecond
)

// Distances tells how far the failure domains are from this VM's own.
type Distances struct {
	FailureDomain string
	// Regions is the region of each failure domain.
	Regions map[string]string
}

// To returns the round trip to a failure domain.
func (d Distances) To(domain string) time.Duration {
	switch {
	case domain == d.FailureDomain:
		return 0
	case d.Regions[domain] == d.Regions[d.FailureDomain]:
		return domainDistance
	default:
		return regionDistance
	}
}
