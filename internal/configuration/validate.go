package configuration

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a configuration, at a path such as "Models[3].MemoryBytes".
type Fault struct {
	Path   string
	Reason string
}

// InvalidError reports every fault of a configuration.
type InvalidError struct {
	Faults []Fault
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.Path+": "+fault.Reason)
	}
	return "configuration is invalid: " + strings.Join(lines, "; ")
}

// Validate returns an InvalidError with every fault, or nil.
func (c Configuration) Validate() error {
	v := &validation{
		configuration: c,
	}
	v.failureDomains()
	v.services()
	v.models()
	v.adapters()
	v.presets()
	v.objectives()
	v.store()
	if len(v.faults) == 0 {
		return nil
	}
	return &InvalidError{Faults: v.faults}
}

type validation struct {
	configuration Configuration
	faults        []Fault
}

func (v *validation) fault(path, format string, args ...any) {
	v.faults = append(v.faults, Fault{
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

func (v *validation) unique(seen map[string]bool, path, name string) {
	if name == "" {
		v.fault(path+".Name", "must not be empty")
		return
	}
	if seen[name] {
		v.fault(path+".Name", "%q is used twice", name)
	}
	seen[name] = true
}

func (v *validation) failureDomains() {
	if len(v.configuration.FailureDomains) == 0 {
		v.fault("FailureDomains", "must name at least one failure domain")
	}
	seen := make(map[string]bool)
	for i, d := range v.configuration.FailureDomains {
		path := fmt.Sprintf("FailureDomains[%d]", i)
		v.unique(seen, path, d.Name)
		if d.Region == "" {
			v.fault(path+".Region", "must not be empty")
		}
	}
}

func (v *validation) presence(path string, s Service) {
	if s.Runners() < 1 {
		v.fault(path+".Presence", "must have at least 1 runner")
	}
	for i, p := range s.Presence {
		at := fmt.Sprintf("%s.Presence[%d]", path, i)
		if _, ok := v.configuration.Region(p.FailureDomain); !ok {
			v.fault(at+".FailureDomain", "%q is not a failure domain", p.FailureDomain)
		}
		if p.Runners < 0 {
			v.fault(at+".Runners", "must not be negative")
		}
		if p.Shards < 0 || p.Shards > max(p.Runners, 1) {
			v.fault(at+".Shards", "must lie between 0 and the number of runners")
		}
	}
}

func (v *validation) services() {
	seen := make(map[string]bool)
	for i, s := range v.configuration.Services {
		path := fmt.Sprintf("Services[%d]", i)
		v.unique(seen, path, s.Name)
		v.presence(path, s)
		switch s.Kind {
		case ModelService:
			v.modelService(path, s)
		case PlainService:
		default:
			v.fault(path+".Kind", "%q is neither %q nor %q", s.Kind, ModelService, PlainService)
		}
		for j, route := range s.Idempotent {
			if route.Method == "" || !strings.HasPrefix(route.PathPrefix, "/") {
				v.fault(fmt.Sprintf("%s.Idempotent[%d]", path, j), "needs a method and a path prefix that begins with /")
			}
		}
	}
}

func (v *validation) modelService(path string, s Service) {
	switch s.Fencing {
	case "", Ignored, Enforced, Persistent:
	default:
		v.fault(path+".Fencing", "%q is neither %q, %q nor %q", s.Fencing, Ignored, Enforced, Persistent)
	}
	if s.Accelerators < 1 {
		v.fault(path+".Accelerators", "must be at least 1")
	}
	if s.AcceleratorBytes < 1 {
		v.fault(path+".AcceleratorBytes", "must be at least 1")
	}
}

func (v *validation) models() {
	if len(v.configuration.Models) == 0 {
		v.fault("Models", "must name at least one model")
	}
	seen := make(map[string]bool)
	for i, m := range v.configuration.Models {
		path := fmt.Sprintf("Models[%d]", i)
		v.unique(seen, path, m.Name)
		if m.MemoryBytes < 1 {
			v.fault(path+".MemoryBytes", "must be at least 1")
		}
		if m.Class != People && m.Class != Batch {
			v.fault(path+".Class", "%q is neither %q nor %q", m.Class, People, Batch)
		}
		service, ok := v.configuration.Service(m.Service)
		if !ok || service.Kind != ModelService {
			v.fault(path+".Service", "%q is not a model service", m.Service)
			continue
		}
		if bytes := v.configuration.ReplicaBytes(m); bytes > service.AcceleratorBytes {
			v.fault(path+".MemoryBytes", "%d with its adapters is more than the %d of any accelerator of %q", bytes, service.AcceleratorBytes, m.Service)
		}
	}
}

func (v *validation) adapters() {
	names := make(map[string]bool)
	for _, m := range v.configuration.Models {
		names[m.Name] = true
	}
	models := len(names)
	seen := make(map[string]bool)
	for i, a := range v.configuration.Adapters {
		path := fmt.Sprintf("Adapters[%d]", i)
		v.unique(seen, path, a.Name)
		if models > 0 && names[a.Name] {
			v.fault(path+".Name", "%q is also a model", a.Name)
		}
		if !names[a.Model] {
			v.fault(path+".Model", "%q is not a model", a.Model)
		}
		if a.MemoryBytes < 0 {
			v.fault(path+".MemoryBytes", "must not be negative")
		}
	}
}

func (v *validation) presets() {
	if len(v.configuration.Presets) == 0 {
		v.fault("Presets", "must name at least one preset")
	}
	seen := make(map[string]bool)
	for i, p := range v.configuration.Presets {
		path := fmt.Sprintf("Presets[%d]", i)
		v.unique(seen, path, p.Name)
		if p.Replicas < 1 {
			v.fault(path+".Replicas", "must be at least 1, so that every model stays reachable")
		}
		if p.MovePrice < 0 {
			v.fault(path+".MovePrice", "must not be negative")
		}
		v.floors(path, p)
		v.memory(path, p)
	}
}

func (v *validation) floors(path string, p Preset) {
	for j, floor := range p.Floors {
		at := fmt.Sprintf("%s.Floors[%d]", path, j)
		if floor.Replicas < 1 {
			v.fault(at+".Replicas", "must be at least 1, so that the model stays reachable")
		}
		model, ok := v.configuration.Model(floor.Model)
		if !ok || model.Name != floor.Model {
			v.fault(at+".Model", "%q is not a model", floor.Model)
			continue
		}
		service, _ := v.configuration.Service(model.Service)
		if floor.Replicas > service.Runners() {
			v.fault(at+".Replicas", "%d is more than the %d runners of %q", floor.Replicas, service.Runners(), service.Name)
		}
	}
}

// memory checks that the floors of a preset fit into the accelerators of each service.
func (v *validation) memory(path string, p Preset) {
	need := make(map[string]int64)
	for _, m := range v.configuration.Models {
		need[m.Service] += int64(p.Floor(m.Name)) * v.configuration.ReplicaBytes(m)
	}
	for _, s := range v.configuration.Services {
		have := int64(s.Runners()) * int64(s.Accelerators) * s.AcceleratorBytes
		if need[s.Name] > have {
			v.fault(path, "floors need %d bytes, the accelerators of %q have %d", need[s.Name], s.Name, have)
		}
	}
}

func (v *validation) objectives() {
	for i, o := range v.configuration.Objectives {
		path := fmt.Sprintf("Objectives[%d]", i)
		if _, ok := v.configuration.Service(o.Service); !ok {
			v.fault(path+".Service", "%q is not a service", o.Service)
		}
		if o.FirstToken.Duration <= 0 {
			v.fault(path+".FirstToken", "must be above 0")
		}
		if o.Share <= 0 || o.Share >= 1 {
			v.fault(path+".Share", "must lie between 0 and 1")
		}
	}
}

func (v *validation) store() {
	s := v.configuration.Store
	if s.LoadsPerSecond <= 0 {
		v.fault("Store.LoadsPerSecond", "must be above 0")
	}
	if s.LoadsAtOnce < 1 {
		v.fault("Store.LoadsAtOnce", "must be at least 1")
	}
	if s.AdaptersInFlight < 1 {
		v.fault("Store.AdaptersInFlight", "must be at least 1")
	}
}
