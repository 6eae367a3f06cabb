package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/settings"
)

func TestServingExampleIsValid(t *testing.T) {
	s, err := settings.ParseServing("example", []byte(settings.ServingExample()))
	require.NoError(t, err)
	require.Equal(t, map[string]string{"attica-a": "attica", "crete-a": "crete"}, s.VM.Regions)
	require.Equal(t, 3*time.Second, s.Control.LeaseTerm)
	require.InDelta(t, 0.2, s.Limits.RetryRatio, 0)
}

func TestServingListsEveryFault(t *testing.T) {
	content := strings.NewReplacer(
		"Regions = attica-a:attica,crete-a:crete", "Regions = attica-a",
		";RetryRatio = 0.2", "RetryRatio = 2",
		"Store = 127.0.0.1:7000", "Store = store:7000",
		";FirstStart = true", "FirstStart = perhaps",
	).Replace(settings.ServingExample())
	_, err := settings.ParseServing("bad", []byte(content))
	var invalid *settings.InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Faults, 4)
}
