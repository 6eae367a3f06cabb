package configuration

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a configuration, at a path such as "Models[3].MemoryBytes".
type Fault struct {
	Path   string
	Reason string
}

// InvalidError reports all faults of a configuration.
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

// Validate checks the configuration and returns an InvalidError with all faults, or nil.
func (c Configuration) Validate() error {
	v := &validator{
		configuration: c,
	}
	v.checkFailureDomains()
	v.checkServices()
	v.checkModels()
	v.checkAdapters()
	v.checkPresets()
	v.checkObjectives()
	v.checkStore()
	if len(v.faults) == 0 {
		return nil
	}
	return &InvalidError{Faults: v.faults}
}

type validator struct {
	configuration Configuration
	faults        []Fault
}

func (v *validator) addFault(path, format string, args ...any) {
	v.faults = append(v.faults, Fault{
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

func (v *validator) checkName(seen map[string]bool, path, name string) {
	if name == "" {
		v.addFault(path+".Name", "must not be empty")
		return
	}
	if seen[name] {
		v.addFault(path+".Name", "%q is used twice", name)
	}
	seen[name] = true
}

func (v *validator) checkFailureDomains() {
	if len(v.configuration.FailureDomains) == 0 {
		v.addFault("FailureDomains", "must name at least one failure domain")
	}
	seen := make(map[string]bool)
	for i, d := range v.configuration.FailureDomains {
		path := fmt.Sprintf("FailureDomains[%d]", i)
		v.checkName(seen, path, d.Name)
		if d.Region == "" {
			v.addFault(path+".Region", "must not be empty")
		}
	}
}

func (v *validator) checkPresence(path string, s Service) {
	if s.Runners() < 1 {
		v.addFault(path+".Presence", "must have at least 1 runner")
	}
	for i, p := range s.Presence {
		presencePath := fmt.Sprintf("%s.Presence[%d]", path, i)
		if _, ok := v.configuration.Region(p.FailureDomain); !ok {
			v.addFault(presencePath+".FailureDomain", "%q is not a failure domain", p.FailureDomain)
		}
		if p.Runners < 0 {
			v.addFault(presencePath+".Runners", "must not be negative")
		}
		if p.Shards < 0 || p.Shards > max(p.Runners, 1) {
			v.addFault(presencePath+".Shards", "must lie between 0 and the number of runners")
		}
	}
}

func (v *validator) checkServices() {
	seen := make(map[string]bool)
	for i, s := range v.configuration.Services {
		path := fmt.Sprintf("Services[%d]", i)
		v.checkName(seen, path, s.Name)
		v.checkPresence(path, s)
		switch s.Kind {
		case ModelService:
			v.checkModelService(path, s)
		case PlainService:
		default:
			v.addFault(path+".Kind", "%q is neither %q nor %q", s.Kind, ModelService, PlainService)
		}
		for j, route := range s.Idempotent {
			if route.Method == "" || !strings.HasPrefix(route.PathPrefix, "/") {
				v.addFault(fmt.Sprintf("%s.Idempotent[%d]", path, j), "needs a method and a path prefix that begins with /")
			}
		}
	}
}

func (v *validator) checkModelService(path string, s Service) {
	switch s.Fencing {
	case "", Ignored, Enforced, Persistent:
	default:
		v.addFault(path+".Fencing", "%q is neither %q, %q nor %q", s.Fencing, Ignored, Enforced, Persistent)
	}
	if s.Accelerators < 1 {
		v.addFault(path+".Accelerators", "must be at least 1")
	}
	if s.AcceleratorBytes < 1 {
		v.addFault(path+".AcceleratorBytes", "must be at least 1")
	}
}

func (v *validator) checkModels() {
	if len(v.configuration.Models) == 0 {
		v.addFault("Models", "must name at least one model")
	}
	seen := make(map[string]bool)
	for i, m := range v.configuration.Models {
		path := fmt.Sprintf("Models[%d]", i)
		v.checkName(seen, path, m.Name)
		if m.MemoryBytes < 1 {
			v.addFault(path+".MemoryBytes", "must be at least 1")
		}
		if m.Class != People && m.Class != Batch {
			v.addFault(path+".Class", "%q is neither %q nor %q", m.Class, People, Batch)
		}
		service, ok := v.configuration.Service(m.Service)
		if !ok || service.Kind != ModelService {
			v.addFault(path+".Service", "%q is not a model service", m.Service)
			continue
		}
		if bytes := v.configuration.ReplicaBytes(m); bytes > service.AcceleratorBytes {
			v.addFault(path+".MemoryBytes", "%d with its adapters is more than the %d of any accelerator of %q", bytes, service.AcceleratorBytes, m.Service)
		}
	}
}

func (v *validator) checkAdapters() {
	modelNames := make(map[string]bool)
	for _, m := range v.configuration.Models {
		modelNames[m.Name] = true
	}
	modelCount := len(modelNames)
	seen := make(map[string]bool)
	for i, a := range v.configuration.Adapters {
		path := fmt.Sprintf("Adapters[%d]", i)
		v.checkName(seen, path, a.Name)
		if modelCount > 0 && modelNames[a.Name] {
			v.addFault(path+".Name", "%q is also a model", a.Name)
		}
		if !modelNames[a.Model] {
			v.addFault(path+".Model", "%q is not a model", a.Model)
		}
		if a.MemoryBytes < 0 {
			v.addFault(path+".MemoryBytes", "must not be negative")
		}
	}
}

func (v *validator) checkPresets() {
	if len(v.configuration.Presets) == 0 {
		v.addFault("Presets", "must name at least one preset")
	}
	seen := make(map[string]bool)
	for i, p := range v.configuration.Presets {
		path := fmt.Sprintf("Presets[%d]", i)
		v.checkName(seen, path, p.Name)
		if p.Replicas < 1 {
			v.addFault(path+".Replicas", "must be at least 1, so that every model stays reachable")
		}
		if p.MovePrice < 0 {
			v.addFault(path+".MovePrice", "must not be negative")
		}
		v.checkFloors(path, p)
		v.checkMemory(path, p)
	}
}

func (v *validator) checkFloors(path string, p Preset) {
	for j, floor := range p.Floors {
		floorPath := fmt.Sprintf("%s.Floors[%d]", path, j)
		if floor.Replicas < 1 {
			v.addFault(floorPath+".Replicas", "must be at least 1, so that the model stays reachable")
		}
		model, ok := v.configuration.Model(floor.Model)
		if !ok || model.Name != floor.Model {
			v.addFault(floorPath+".Model", "%q is not a model", floor.Model)
			continue
		}
		service, _ := v.configuration.Service(model.Service)
		if floor.Replicas > service.Runners() {
			v.addFault(floorPath+".Replicas", "%d is more than the %d runners of %q", floor.Replicas, service.Runners(), service.Name)
		}
	}
}

// checkMemory checks that the minimum replicas of a preset fit into the accelerator memory of each service.
func (v *validator) checkMemory(path string, p Preset) {
	requiredBytes := make(map[string]int64)
	for _, m := range v.configuration.Models {
		requiredBytes[m.Service] += int64(p.Floor(m.Name)) * v.configuration.ReplicaBytes(m)
	}
	for _, s := range v.configuration.Services {
		availableBytes := int64(s.Runners()) * int64(s.Accelerators) * s.AcceleratorBytes
		if requiredBytes[s.Name] > availableBytes {
			v.addFault(path, "floors need %d bytes, the accelerators of %q have %d", requiredBytes[s.Name], s.Name, availableBytes)
		}
	}
}

func (v *validator) checkObjectives() {
	for i, o := range v.configuration.Objectives {
		path := fmt.Sprintf("Objectives[%d]", i)
		if _, ok := v.configuration.Service(o.Service); !ok {
			v.addFault(path+".Service", "%q is not a service", o.Service)
		}
		if o.FirstToken.Duration <= 0 {
			v.addFault(path+".FirstToken", "must be above 0")
		}
		if o.Share <= 0 || o.Share >= 1 {
			v.addFault(path+".Share", "must lie between 0 and 1")
		}
	}
}

func (v *validator) checkStore() {
	s := v.configuration.Store
	if s.LoadsPerSecond <= 0 {
		v.addFault("Store.LoadsPerSecond", "must be above 0")
	}
	if s.LoadsAtOnce < 1 {
		v.addFault("Store.LoadsAtOnce", "must be at least 1")
	}
	if s.AdaptersInFlight < 1 {
		v.addFault("Store.AdaptersInFlight", "must be at least 1")
	}
}
