package serving

import (
	"context"
	"log/slog"
	"reflect"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

// settingsInterval is the pause between two looks at the settings file, which may change without a signal.
const settingsInterval = 2 * time.Second

// watchSettings reads the settings again on a signal and when the file changed.
func (s *Server) watchSettings(ctx context.Context) error {
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-s.Hangups:
			signalled = true
		case <-s.Clock.After(settingsInterval):
		}
		s.reload(signalled)
	}
}

// reload takes in limits; names, addresses and the lease's term stay until the process starts again.
func (s *Server) reload(signalled bool) {
	read, err := s.Reload()
	if err != nil {
		if signalled {
			event.SettingsUnusable.Log(s.Logger, event.Error(err))
		}
		return
	}
	before := s.current()
	if reflect.DeepEqual(before, read) {
		if signalled {
			event.SettingsReloaded.Log(s.Logger, slog.Bool("Changed", false))
		}
		return
	}
	s.settings.Store(&read)
	s.budget.Share(budgetLimits(read), s.vms())
	event.SettingsReloaded.Log(s.Logger, slog.Bool("Changed", true), slog.Any("Limits", read.Limits),
		slog.Bool("RestartNeeded", !reflect.DeepEqual(before.VM, read.VM) || before.Platform != read.Platform ||
			before.Control != read.Control))
}

// current returns the newest usable settings.
func (s *Server) current() settings.Serving { return *s.settings.Load() }
