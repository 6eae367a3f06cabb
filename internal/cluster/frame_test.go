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
