package catalog

import "time"

// Limits bounds the requests and connections of callers; a zero field sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
