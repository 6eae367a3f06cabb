package configcheck

import (
	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

func (f *findings) checkServices(c *catalog.Catalog) {
	for _, name := range c.RepeatedServices() {
		f.warn(RepeatedService, EntryName("service", name, 0), "Several services have this name; VMs use the last one.")
	}
	reached := make(map[string]bool)
	for _, route := range c.Routes() {
		for _, target := range route.Targets {
			reached[target.Service] = true
		}
	}
	for name, service := range c.Services() {
		entry := EntryName("service", name, 0)
		if !reached[name] {
			f.warn(UnreachedService, entry, "No route leads to it.")
		}
		if service.Engine != nil {
			f.checkEngine(service.Engine, entry)
		}
	}
}

func (f *findings) checkEngine(engine *catalog.Engine, entry string) {
	if len(engine.Models) == 0 {
		f.warn(NoModels, entry, "It has an engine and no models.")
	}
	names := make(map[string]bool)
	reserve := adapterReserveMB(engine)
	for i, model := range engine.Models {
		modelEntry := entry + ", " + EntryName("model", model.Name, i)
		if names[model.Name] {
			f.warn(RepeatedModel, modelEntry, "Another model of the service has the same name; VMs use the first one.")
		}
		names[model.Name] = true
		if model.WeightsMB+reserve > engine.WeightsMB {
			f.warn(ModelTooLarge, modelEntry, "Its %g MB and %g MB for adapters don't fit into the %g MB of a runner, so it is never loaded.",
				model.WeightsMB, reserve, engine.WeightsMB)
		}
	}
}

// adapterReserveMB returns the memory that package layout keeps free for adapters on each runner.
func adapterReserveMB(engine *catalog.Engine) float64 {
	largest := 0.0
	for _, model := range engine.Models {
		if model.Adapters > 0 {
			largest = max(largest, model.AdapterMB)
		}
	}
	return largest * float64(engine.AdapterSlots)
}
