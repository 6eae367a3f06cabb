package factory

import (
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

const operatorTimeout = 15 * time.Second

// New returns a factory with the standard streams, the system clock and an HTTP client.
func New() *cmdutil.Factory {
	return &cmdutil.Factory{
		IOStreams: iostreams.System(),
		Settings:  settings.Read,
		HTTPClient: sync.OnceValue(func() *http.Client {
			return &http.Client{
				Timeout: operatorTimeout,
			}
		}),
		Clock: sync.OnceValue(clockwork.NewRealClock),
	}
}
