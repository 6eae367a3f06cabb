package demo

import (
	"log/slog"

	"github.com/cowsliparch/cowsliparch/internal/deployment"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

// Options sizes a world.
type Options struct {
	Deployment deployment.Deployment
	Seed       uint64
	Logger     *slog.Logger
	// Adjust changes the settings of each entry VM; nil leaves them at their defaults.
	Adjust func(*settings.Settings)
}
