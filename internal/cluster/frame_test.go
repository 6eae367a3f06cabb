package cluster

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Fleets without a fourth load figure must exchange the same bytes as before paces were shared.
func TestFramesWithoutPacesAreUnchanged(t *testing.T) {
	type report struct {
		Version   uint64
		Occupancy roster.Occupancy
		Uses      []roster.ModelUse `cbor:",omitempty"`
	}
	uses := []roster.ModelUse{{Runner: "r1", Model: "m"}}
	before, err := cbor.Marshal(map[string]report{"Account": {Version: 7, Occupancy: roster.Occupancy{"r1": 2}, Uses: uses}})
	require.NoError(t, err)
	got, err := cbor.Marshal(frame{Usage: &usageReport{Version: 7, Occupancy: roster.Occupancy{"r1": 2}, Uses: uses}})
	require.NoError(t, err)
	require.Equal(t, before, got)
}

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
