package demo

// Preload puts the models onto the runners at once, without orders, so that tests of the callers' path need no planner.
func (w *World) Preload(replicas int) {
	for i, model := range w.Deployment.Configuration.Models {
		for r := range replicas {
			engine := w.Engines[(i+r*len(w.Engines)/replicas)%len(w.Engines)]
			engine.Preload(i%w.accelerators(), model.Name, model.MemoryBytes)
		}
	}
}

func (w *World) accelerators() int {
	service, _ := w.Deployment.Configuration.Service(w.Deployment.ModelService)
	return service.Accelerators
}
