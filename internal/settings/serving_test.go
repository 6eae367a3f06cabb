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

// The platform states every limit as a number that may have a fraction.
func TestServingAcceptsFractionalLimits(t *testing.T) {
	content := strings.NewReplacer(
		";RetrySlack = 50", "RetrySlack = 33.1578947368421",
		";RetryWindow = 10s", "RetryWindow = 10.5s",
		";StopTimeout = 8s", "StopTimeout = 8.25s",
		";LeaseTerm = 3s", "LeaseTerm = 3000.5ms",
	).Replace(settings.ServingExample())
	s, err := settings.ParseServing("fractions", []byte(content))
	require.NoError(t, err)
	require.InDelta(t, 33.158, s.Limits.RetrySlack, 0.001)
	require.Equal(t, 10500*time.Millisecond, s.Limits.RetryWindow)
	require.Equal(t, 8250*time.Millisecond, s.Limits.StopTimeout)
}

// Requests must be refused as in earlier versions unless the operators choose otherwise.
func TestSheddingIsByPriorityUnlessSet(t *testing.T) {
	s, err := settings.ParseServing("example", []byte(settings.ServingExample()))
	require.NoError(t, err)
	require.Equal(t, settings.SheddingByPriority, s.Limits.Shedding)
	for value, valid := range map[string]bool{"Cost": true, "Priority": true, "cost": false, "": false} {
		s, err := settings.ParseServing("set", []byte(strings.Replace(settings.ServingExample(), ";Shedding = Priority", "Shedding = "+value, 1)))
		if valid {
			require.NoError(t, err)
			require.EqualValues(t, value, s.Limits.Shedding)
		} else {
			require.Error(t, err, value)
		}
	}
}
