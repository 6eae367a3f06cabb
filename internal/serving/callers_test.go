package serving

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/settings"
)

// The limits of the smallest VM must leave room for the largest legal requests and for connections to runners.
func TestLimitsOfTheSmallestVM(t *testing.T) {
	vm := settings.ServingVM{
		MemoryMB:    144,
		Descriptors: 3075,
	}
	require.EqualValues(t, 31<<20, requestBytes(vm))
	require.Equal(t, 73728, readBuffer(vm))
	// The process that runs the test may have a lower limit.
	require.LessOrEqual(t, connectionLimit(vm), 1030)
	vm.Descriptors = 100
	require.Equal(t, 15, connectionLimit(vm))
}

// Without the VM's figures, limits must be such that ordinary callers don't meet them.
func TestLimitsOfAnUnknownVM(t *testing.T) {
	require.EqualValues(t, defaultRequestBytes, requestBytes(settings.ServingVM{}))
	require.Zero(t, readBuffer(settings.ServingVM{}))
	require.Positive(t, connectionLimit(settings.ServingVM{}))
}
