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
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/registry"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

// Dependencies is everything outside the process that it works with.
type Dependencies struct {
	Settings settings.Serving
	// Reload reads the settings file again.
	Reload func() (settings.Serving, error)
	// Hangups asks for a reload.
	Hangups <-chan os.Signal
	Source  registry.Source
	Log     logservice.Conditional
	Sender  dispatch.Sender
	Orders  orders.Client
	Pool    *outbound.Pool
	// Ingress makes the handler of callers' requests.
	Ingress func(*Server) http.Handler
	// ReadyPath is where the balancer asks for readiness.
	ReadyPath string
	// LinesDropped returns how many log lines were dropped.
	LinesDropped func() uint64
	Clock        clockwork.Clock
	Boot         boottime.Clock
	Logger       *slog.Logger
}
