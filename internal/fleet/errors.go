package fleet

import (
	"fmt"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// FencedError reports an intent recorded under a lease that was no longer valid.
type FencedError struct {
	Shard string
	Fence logservice.Offset
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("lease %d of shard %s was no longer valid when the intent was recorded", e.Fence, e.Shard)
}
