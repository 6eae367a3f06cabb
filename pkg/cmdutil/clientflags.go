package cmdutil

import (
	"flag"

	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// DefaultControlAddress is the control address of an entry VM in the example settings.
const DefaultControlAddress = "127.0.0.1:8081"

// ClientFlags holds the flags of a command that queries an entry VM.
type ClientFlags struct {
	Address string
	JSON    bool
}

// Declare defines the flags -entry and -json.
func (c *ClientFlags) Declare(flags *flag.FlagSet) {
	flags.StringVar(&c.Address, "entry", DefaultControlAddress, "control `address` of any entry VM")
	flags.BoolVar(&c.JSON, "json", false, "write JSON")
}

// Client returns a client of the VM at Address.
func (c *ClientFlags) Client(f *Factory) *operatorapi.Client {
	return operatorapi.New(c.Address, f.HTTPClient())
}
