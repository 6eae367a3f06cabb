package directory

import (
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// readyModels returns the models that are ready according to a report, sorted and without duplicates.
func readyModels(r endpoint.Report) []string {
	var models []string
	for _, accelerator := range r.Accelerators {
		for _, loaded := range accelerator.Loaded {
			if loaded.Ready {
				models = append(models, loaded.Model)
			}
		}
	}
	slices.Sort(models)
	return slices.Compact(models)
}

func sameModels(a, b endpoint.Report) bool {
	return slices.Equal(readyModels(a), readyModels(b))
}
