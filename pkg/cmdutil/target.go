package cmdutil

import (
	"flag"

	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// DefaultControlAddress is the control address of an entry VM in the example settings.
const DefaultControlAddress = "127.0.0.1:8081"

// Target holds the flags of a command that queries an entry VM.
type Target struct {
	Address string
	JSON    bool
}

// Declare defines the flags -entry and -json.
func (t *Target) Declare(flags *flag.FlagSet) {
	flags.StringVar(&t.Address, "entry", DefaultControlAddress, "control `address` of any entry VM")
	flags.BoolVar(&t.JSON, "json", false, "write JSON")
}

// Client returns a client of the VM at Address.
func (t *Target) Client(f *Factory) *operatorapi.Client {
	return operatorapi.New(t.Address, f.HTTPClient())
}
