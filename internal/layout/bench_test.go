package layout_test

import (
	"fmt"
	"testing"

	"github.com/cowsliparch/cowsliparch/internal/layout"
)

// benchmarkInput returns runners with the models distributed round-robin, and demand for all models and adapters.
func benchmarkInput(runners, models, adapters int) ([]*layout.Runner, layout.Demand) {
	var fleet []*layout.Runner
	work := make(map[string]float64)
	for i := range models {
		work[fmt.Sprintf("m%d", i)] = float64(models-i) / 100
	}
	d := demand(work)
	for i := range runners {
		r := runner(fmt.Sprintf("r%d", i), fmt.Sprintf("d%d", i%6))
		for k := range 3 {
			r.Models[fmt.Sprintf("m%d", (i*3+k)%models)] = []string{"a1", "a2"}
		}
		fleet = append(fleet, r)
	}
	for m := range work {
		d.Adapters[m] = make(map[string]float64)
		for a := range adapters {
			d.Adapters[m][fmt.Sprintf("a%d", a+1)] = 1
		}
	}
	return fleet, d
}

func BenchmarkModels(b *testing.B) {
	for _, size := range [][2]int{{9, 17}, {100, 200}, {100, 1800}, {192, 319}, {600, 1800}} {
		b.Run(fmt.Sprintf("runners=%d/models=%d", size[0], size[1]), func(b *testing.B) {
			runners, d := benchmarkInput(size[0], size[1], 0)
			e := engine(size[1], 0)
			b.ReportAllocs()
			for b.Loop() {
				layout.PlanModels(e, runners, d, 4)
			}
		})
	}
}

func BenchmarkAdapters(b *testing.B) {
	for _, size := range [][2]int{{9, 17}, {100, 200}, {192, 319}, {600, 1800}} {
		b.Run(fmt.Sprintf("runners=%d/models=%d", size[0], size[1]), func(b *testing.B) {
			runners, d := benchmarkInput(size[0], size[1], 5)
			e := engine(size[1], 5)
			b.ReportAllocs()
			for b.Loop() {
				layout.PlanAdapters(e, runners, d)
			}
		})
	}
}
