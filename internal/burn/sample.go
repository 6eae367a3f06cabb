package burn

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// Sample is one call that ended.
type Sample struct {
	Service string
	Class   configuration.Class
	Model   string
	Caller  string
	// Good tells whether the answer met its objective; a refusal does not.
	Good bool
	At   time.Time
}

// Key names one objective.
type Key struct {
	Service string
	Class   configuration.Class
}
