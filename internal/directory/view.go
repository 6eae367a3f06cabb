package directory

import "github.com/cowsliparch/cowsliparch/internal/vmlist"

// View is an immutable snapshot of the VMs that a Directory tracks.
type View struct {
	endpoints []*Endpoint
	byService map[string][]*Endpoint
	byModel   map[string][]*Endpoint
	entries   []vmlist.VM
}

// NewView returns a view of the endpoints of one failure domain and of the entry VMs of all.
func NewView(endpoints []*Endpoint, entries []vmlist.VM) *View {
	v := &View{
		endpoints: endpoints,
		byService: make(map[string][]*Endpoint),
		byModel:   make(map[string][]*Endpoint),
		entries:   entries,
	}
	for _, e := range endpoints {
		v.byService[e.VM.Service] = append(v.byService[e.VM.Service], e)
		lastReport, ok := e.LastReport()
		if !ok {
			continue
		}
		for _, model := range readyModels(lastReport.Report) {
			v.byModel[model] = append(v.byModel[model], e)
		}
	}
	return v
}

// Endpoints returns every endpoint of this failure domain.
func (v *View) Endpoints() []*Endpoint { return v.endpoints }

// Service returns the endpoints of a service in this failure domain.
func (v *View) Service(name string) []*Endpoint { return v.byService[name] }

// Serving returns the endpoints of this failure domain on which a model is ready.
func (v *View) Serving(model string) []*Endpoint { return v.byModel[model] }

// Entries returns the entry VMs of every failure domain, this one included.
func (v *View) Entries() []vmlist.VM { return v.entries }

// LiveEntries returns the entry VMs of a failure domain that aren't leaving.
func (v *View) LiveEntries(domain string) []vmlist.VM {
	var live []vmlist.VM
	for _, vm := range v.entries {
		if vm.FailureDomain == domain && vm.State == vmlist.Live {
			live = append(live, vm)
		}
	}
	return live
}
