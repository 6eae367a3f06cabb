package fleet

import (
	"fmt"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// FencedError reports an intent recorded under a lease that no longer held.
type FencedError struct {
	Shard string
	Fence logservice.Offset
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("lease %d of shard %s no longer held when the intent was recorded", e.Fence, e.Shard)
}
