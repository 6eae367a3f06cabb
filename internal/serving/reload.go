package serving

import (
	"context"
	"log/slog"
	"reflect"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

// settingsPollInterval is the pause between two checks of the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on a signal and when the file changes.
func (s *Server) watchSettings(ctx context.Context) error {
	for {
		requested := false
		select {
		case <-ctx.Done():
			return nil
		case <-s.ReloadSignals:
			requested = true
		case <-s.Clock.After(settingsPollInterval):
		}
		s.reload(requested)
	}
}

// reload applies changed limits; other changed settings, such as names, addresses and the lease term, need a restart.
func (s *Server) reload(requested bool) {
	read, err := s.Reload()
	if err != nil {
		if requested {
			event.SettingsUnusable.Log(s.Logger, event.Error(err))
		}
		return
	}
	before := s.currentSettings()
	if reflect.DeepEqual(before, read) {
		if requested {
			event.SettingsReloaded.Log(s.Logger, slog.Bool("Changed", false))
		}
		return
	}
	s.settings.Store(&read)
	s.retryBudget.SetLimits(retryLimits(read), s.vmCount())
	event.SettingsReloaded.Log(s.Logger, slog.Bool("Changed", true), slog.Any("Limits", read.Limits),
		slog.Bool("RestartNeeded", needsRestart(before, read)))
}

// needsRestart reports whether settings differ in more than the limits, which alone take effect at once.
func needsRestart(before, after settings.Serving) bool {
	after.Limits = before.Limits
	return !reflect.DeepEqual(before, after)
}

// currentSettings returns the newest valid settings.
func (s *Server) currentSettings() settings.Serving { return *s.settings.Load() }
