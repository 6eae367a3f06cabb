package demo

import (
	"log/slog"

	"github.com/cowsliparch/cowsliparch/internal/deployment"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

// Options configures a Cluster.
type Options struct {
	Deployment deployment.Deployment
	Seed       uint64
	Logger     *slog.Logger
	// Adjust modifies the default settings of each entry VM; it may be nil.
	Adjust func(*settings.Settings)
}
