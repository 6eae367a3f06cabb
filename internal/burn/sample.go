package burn

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// Sample is the result of one call that ended.
type Sample struct {
	Service string
	Class   configuration.Class
	Model   string
	Caller  string
	// Good reports whether the call met its objective; a refused call doesn't.
	Good bool
	At   time.Time
}

// ObjectiveKey identifies one objective.
type ObjectiveKey struct {
	Service string
	Class   configuration.Class
}
