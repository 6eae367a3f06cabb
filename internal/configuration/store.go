package configuration

// Store limits the load that all failure domains together may put on the weight store.
type Store struct {
	LoadsPerSecond float64
	// LoadsAtOnce is the maximum number of concurrent loads.
	LoadsAtOnce      int
	AdaptersInFlight int
}
