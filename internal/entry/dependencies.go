package entry

import (
	"log/slog"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

// Dependencies holds the settings and external services that an entry VM uses.
type Dependencies struct {
	Settings settings.Settings
	Log      logservice.Log
	VMList   vmlist.List
	Engine   endpoint.Engine
	Service  endpoint.Service
	Clock    clockwork.Clock
	Logger   *slog.Logger
}
