package routing

import "time"

// localShare decides which calls stay in their own failure domain: those whose predicted time to the first token is at most
// this fraction of the time left.
const localShare = 0.7

// KeepLocal reports whether a call is served in its own failure domain even if an endpoint of another one is predicted to be
// faster, because traffic between regions is billed by volume and the path to another failure domain is slower.
func KeepLocal(predicted, left time.Duration) bool {
	return predicted <= time.Duration(localShare*float64(left))
}
