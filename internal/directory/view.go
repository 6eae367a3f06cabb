package directory

import "github.com/cowsliparch/cowsliparch/internal/vmlist"

// View is an immutable picture of the VMs.
type View struct {
	endpoints []*Endpoint
	byService map[string][]*Endpoint
	byModel   map[string][]*Endpoint
	entries   []vmlist.VM
}

// Endpoints returns every endpoint of this failure domain.
func (v *View) Endpoints() []*Endpoint { return v.endpoints }

// Service returns the endpoints of a service in this failure domain.
func (v *View) Service(name string) []*Endpoint { return v.byService[name] }

// Serving returns the endpoints of this failure domain on which a model is ready.
func (v *View) Serving(model string) []*Endpoint { return v.byModel[model] }

// Entries returns the entry VMs of every failure domain, this one included.
func (v *View) Entries() []vmlist.VM { return v.entries }
