package catalog

import "time"

// Limits bounds what a caller may send; zero fields are unbounded.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
