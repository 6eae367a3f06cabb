package serving

import (
	"log/slog"
	"net/http"
	"os"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/boottime"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/origin"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/registry"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

// Dependencies is what the server needs from outside its package.
type Dependencies struct {
	Settings settings.Serving
	// Reload reads the settings file again.
	Reload func() (settings.Serving, error)
	// ReloadSignals delivers the signals that request a reload.
	ReloadSignals <-chan os.Signal
	Source        registry.Source
	Log           logservice.ConditionalLog
	Quarantine    quarantine.Store
	Origins       origin.Log
	Sender        dispatch.Sender
	Orders        orders.Client
	Pool          *outbound.Pool
	// Ingress returns the HTTP handler for callers' requests.
	Ingress func(*Server) http.Handler
	// ReadyPath is the path of the load balancer's readiness probes.
	ReadyPath string
	// LinesDropped returns the number of dropped log lines.
	LinesDropped func() uint64
	Clock        clockwork.Clock
	// BootClock measures the time since boot, suspension included.
	BootClock boottime.Clock
	Logger    *slog.Logger
}
