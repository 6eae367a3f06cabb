package cmdutil

import (
	"net/http"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

// Factory provides the dependencies of the commands, each created on first use.
type Factory struct {
	IOStreams  *iostreams.IOStreams
	Settings   func(path string) (settings.Settings, error)
	HTTPClient func() *http.Client
	Clock      func() clockwork.Clock
}
