package demo

import "github.com/cowsliparch/cowsliparch/internal/fake/fakeengine"

// Totals holds counts of the fakes and the entry VMs.
type Totals struct {
	Accelerators        int
	LoadsStarted        int
	MemoryBreaches      int
	MaxExecutionsPerKey int
	CrossRegionBytes    uint64
	LogAppends          uint64
}

// Totals returns the counts so far.
func (c *Cluster) Totals() Totals {
	totals := Totals{
		MaxExecutionsPerKey: c.Journal.MaxExecutions(),
		LogAppends:          c.Log.Appends(),
	}
	for _, engine := range c.Engines {
		totals.LoadsStarted += engine.LoadsStarted()
		totals.MemoryBreaches += engine.Breaches()
	}
	for _, service := range c.Deployment.Configuration.Services {
		totals.Accelerators += service.Runners() * service.Accelerators
	}
	for _, member := range c.Entries {
		totals.CrossRegionBytes += member.Entry.CrossRegionBytes()
	}
	return totals
}

// Verify reports whether a text is the answer that every fake engine gives to a prompt.
func (c *Cluster) Verify(model, prompt, text string, tokens int) bool {
	return text == fakeengine.Text(model+"\n"+prompt, tokens)
}
