package cluster

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Deployments without accounts must exchange exactly the frames of earlier builds.
func TestFramesWithoutQuotasAreUnchanged(t *testing.T) {
	encoded, err := cbor.Marshal(frame{Usage: &usageReport{Version: 3}})
	require.NoError(t, err)
	var decoded map[string]map[string]any
	require.NoError(t, cbor.Unmarshal(encoded, &decoded))
	require.Len(t, decoded, 1)
	require.Len(t, decoded["Account"], 2)
	require.Contains(t, decoded["Account"], "Version")
	require.Contains(t, decoded["Account"], "Occupancy")
}
