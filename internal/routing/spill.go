package routing

import "time"

// localShare is the fraction of the time left up to which a call stays in its own failure domain.
const localShare = 0.7

// KeepLocal reports whether a call is served in its own failure domain rather than in one that may be faster: crossing to
// another one is slower and, between regions, billed by volume.
func KeepLocal(predicted, left time.Duration) bool {
	return predicted <= time.Duration(localShare*float64(left))
}
