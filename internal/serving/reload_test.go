package serving

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/settings"
)

// Whoever changes a setting that takes effect only at a restart must be told so.
func TestOnlyLimitsNeedNoRestart(t *testing.T) {
	before, err := settings.ParseServing("example", []byte(settings.ServingExample()))
	require.NoError(t, err)
	for name, change := range map[string]func(*settings.Serving){
		"log level":  func(s *settings.Serving) { s.Log.Level = slog.LevelDebug },
		"lease term": func(s *settings.Serving) { s.Control.LeaseTerm *= 2 },
		"store":      func(s *settings.Serving) { s.Platform.Store = "127.0.0.1:1" },
		"regions":    func(s *settings.Serving) { s.VM.Regions = nil },
	} {
		after := before
		change(&after)
		require.True(t, needsRestart(before, after), name)
	}
	after := before
	after.Limits.RetrySlack++
	require.False(t, needsRestart(before, after))
}
