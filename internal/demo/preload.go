package demo

// Preload makes each model ready on the given number of runners immediately, without orders, so that tests of calls don't
// depend on placement planning.
func (c *Cluster) Preload(replicas int) {
	for i, model := range c.Deployment.Configuration.Models {
		for r := range replicas {
			engine := c.Engines[(i+r*len(c.Engines)/replicas)%len(c.Engines)]
			engine.Preload(i%c.acceleratorsPerRunner(), model.Name, model.MemoryBytes)
		}
	}
}

func (c *Cluster) acceleratorsPerRunner() int {
	service, _ := c.Deployment.Configuration.Service(c.Deployment.ModelService)
	return service.Accelerators
}
