package capacity

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/admission"
	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
	"github.com/cowsliparch/cowsliparch/internal/placement"
	"github.com/cowsliparch/cowsliparch/internal/routing"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

// Choice measures the time to choose an endpoint, by the number of candidate replicas.
func Choice(clock clockwork.Clock) Series {
	var points []Point
	for _, replicas := range []int{75, 150, 300, 600} {
		var endpoints []*directory.Endpoint
		for i := range replicas {
			e := directory.NewEndpoint(vmlist.VM{
				Name: fmt.Sprintf("runner-%d", i),
			})
			e.Load.Report(endpoint.Report{
				Incarnation:      "i",
				Sequence:         1,
				Slots:            64,
				Running:          i % 64,
				PrefillPerSecond: 20000,
			}, clock.Now(), 1)
			endpoints = append(endpoints, e)
		}
		now := clock.Now()
		points = append(points, Point{
			Size:  float64(replicas),
			Value: micros(timePerRun(clock, func() { routing.Choose(endpoints, nil, 100, now, nil) })),
		})
	}
	return newSeries("choice of an endpoint", "replicas", "us", points)
}

// Admission measures the time to admit and end one call, by the number of callers with calls in flight.
func Admission(clock clockwork.Clock) Series {
	var points []Point
	for _, callers := range []int{10, 100, 1000, 10000} {
		c := admission.New(nil)
		request := admission.Request{
			Class: configuration.People,
			Bound: time.Second,
		}
		for i := range callers {
			request.Caller = fmt.Sprintf("caller-%d", i)
			c.Decide(request)
		}
		points = append(points, Point{
			Size: float64(callers),
			Value: micros(timePerRun(clock, func() {
				c.Decide(request)
				c.Release(request.Caller)
			})),
		})
	}
	return newSeries("admission of a call", "callers", "us", points)
}

// Plan measures the time to plan a shard of ten runners, by the number of models.
func Plan(clock clockwork.Clock) Series {
	var points []Point
	for _, models := range []int{225, 450, 900, 1800} {
		in := newPlanInput(models)
		planner := placement.New()
		now := clock.Now()
		points = append(points, Point{
			Size:  float64(models),
			Value: micros(timePerRun(clock, func() { planner.Plan(now, in) })) / 1000,
		})
	}
	return newSeries("plan of a shard", "models", "ms", points)
}

func newPlanInput(models int) placement.Input {
	in := placement.Input{
		MovePrice: 1,
		MaxLoads:  1,
	}
	replicas := Models * ReplicasPerModel / (Runners / runnersPerShard) / runnersPerShard
	for i := range runnersPerShard {
		runner := placement.Runner{
			Name:  fmt.Sprintf("runner-%d", i),
			Slots: 64,
		}
		for a := range Accelerators / Runners {
			memory := ledger.AcceleratorMemory{
				CapacityBytes: 80 * gib,
				ReservedBytes: 70 * gib,
				Models:        make(map[string]ledger.Status),
			}
			for m := range max(replicas/(Accelerators/Runners), 1) {
				memory.Models[fmt.Sprintf("model-%d", (i*31+a*7+m)%models)] = ledger.Status{
					Bytes:   20 * gib,
					Present: true,
					Ready:   true,
				}
			}
			runner.Accelerators = append(runner.Accelerators, memory)
		}
		in.Runners = append(in.Runners, runner)
	}
	for i := range models {
		in.Targets = append(in.Targets, placement.Target{
			Model:               fmt.Sprintf("model-%d", i),
			Bytes:               20 * gib,
			ServedByOtherDomain: true,
			CallsPerSecond:      float64(i%50) / 10,
			AnswerTime:          7 * time.Second,
		})
	}
	return in
}

// Homes measures the time to spread a preset's replica floors over all shards, by the number of models.
func Homes(clock clockwork.Clock) Series {
	var points []Point
	for _, models := range []int{225, 450, 900, 1800} {
		c := targetConfiguration(models)
		points = append(points, Point{
			Size:  float64(models),
			Value: micros(timePerRun(clock, func() { placement.AssignReplicas(c, c.Presets[0]) })) / 1000,
		})
	}
	return newSeries("floors spread over shards", "models", "ms", points)
}
