package configuration

// Store is the weight store's budget over all failure domains.
type Store struct {
	LoadsPerSecond   float64
	LoadsAtOnce      int
	AdaptersInFlight int
}
