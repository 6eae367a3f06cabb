package demo

// Preload makes each model ready on the given number of runners immediately, without orders, so that tests of calls don't
// depend on placement planning.
func (w *World) Preload(replicas int) {
	for i, model := range w.Deployment.Configuration.Models {
		for r := range replicas {
			engine := w.Engines[(i+r*len(w.Engines)/replicas)%len(w.Engines)]
			engine.Preload(i%w.acceleratorsPerRunner(), model.Name, model.MemoryBytes)
		}
	}
}

func (w *World) acceleratorsPerRunner() int {
	service, _ := w.Deployment.Configuration.Service(w.Deployment.ModelService)
	return service.Accelerators
}
