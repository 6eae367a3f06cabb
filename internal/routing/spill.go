package routing

import "time"

// spillShare is the part of the time left up to which a call stays in its own failure domain.
const spillShare = 0.7

// Stays reports whether a call is answered in its own failure domain, rather than looking for a faster one: crossing is
// slower and, between regions, paid by volume.
func Stays(predicted, left time.Duration) bool {
	return predicted <= time.Duration(spillShare*float64(left))
}
