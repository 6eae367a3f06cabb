package layout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/layout"
)

func engine(models, adapters int) *catalog.Engine {
	e := &catalog.Engine{
		WeightsMB:      220,
		AdapterSlots:   8,
		LoadsPerSecond: 2,
	}
	for i := range models {
		e.Models = append(e.Models, catalog.Model{
			Name:      fmt.Sprintf("m%d", i),
			WeightsMB: 70,
			LoadTime:  time.Second,
			Adapters:  adapters,
			AdapterMB: 0.1,
		})
	}
	return e
}

func runner(id, domain string, models ...string) *layout.Runner {
	r := &layout.Runner{
		ID:            id,
		FailureDomain: domain,
		Models:        make(map[string][]string),
	}
	for _, m := range models {
		r.Models[m] = nil
	}
	return r
}

func demand(work map[string]float64) layout.Demand {
	d := layout.Demand{
		Work:     work,
		Requests: make(map[string]float64),
		Adapters: make(map[string]map[string]float64),
	}
	for m := range work {
		d.Requests[m] = 100
	}
	return d
}

func TestLoadsMissingModel(t *testing.T) {
	e := engine(4, 0)
	runners := []*layout.Runner{runner("r1", "a", "m0", "m1", "m2"), runner("r2", "b", "m0", "m1", "m2")}
	steps := layout.PlanModels(e, runners, demand(nil), 5)
	require.Len(t, steps, 1)
	require.Equal(t, "m3", steps[0].Load)
	require.Len(t, steps[0].Unload, 1)
}

func TestKeepsLastReplica(t *testing.T) {
	e := engine(4, 0)
	runners := []*layout.Runner{runner("r1", "a", "m0", "m1", "m2")}
	require.Empty(t, layout.PlanModels(e, runners, demand(map[string]float64{"m3": 100}), 5))
}

// A model being unloaded is no replica, so the replica on the other runner is the last one.
func TestUnloadingModelIsNotAReplica(t *testing.T) {
	e := engine(4, 0)
	unloading := runner("r1", "a", "m0", "m1")
	unloading.Unloading = []string{"m0"}
	unloading.Loading = "m2"
	unloading.Busy = true
	runners := []*layout.Runner{unloading, runner("r2", "b", "m0", "m1", "m2")}
	for _, step := range layout.PlanModels(e, runners, demand(map[string]float64{"m3": 100}), 5) {
		require.NotContains(t, step.Unload, "m0")
	}
}

// A model being loaded serves no requests yet, so the serving replica is the last one.
func TestLoadingModelDoesNotReplaceLastReplica(t *testing.T) {
	e := engine(4, 0)
	loading := runner("r1", "a", "m1", "m2")
	loading.Loading = "m0"
	loading.Busy = true
	runners := []*layout.Runner{loading, runner("r2", "b", "m0", "m1", "m2")}
	for _, step := range layout.PlanModels(e, runners, demand(map[string]float64{"m3": 100}), 5) {
		require.NotContains(t, step.Unload, "m0")
	}
}

func TestDrainingRunnerIsIgnored(t *testing.T) {
	e := engine(2, 0)
	draining := runner("r1", "a", "m0")
	draining.Draining = true
	steps := layout.PlanModels(e, []*layout.Runner{draining, runner("r2", "b", "m1")}, demand(nil), 5)
	require.Len(t, steps, 1)
	require.Equal(t, "m0", steps[0].Load)
	require.Equal(t, "r2", steps[0].Runner)
}

func TestAddsReplicasForHighDemand(t *testing.T) {
	e := engine(3, 0)
	runners := []*layout.Runner{runner("r1", "a", "m0"), runner("r2", "b", "m1"), runner("r3", "c", "m2")}
	steps := layout.PlanModels(e, runners, demand(map[string]float64{"m0": 50, "m1": 0.1}), 5)
	require.Len(t, steps, 2)
	for _, step := range steps {
		require.Equal(t, "m0", step.Load)
	}
}

// A few requests are too small a sample to justify moving models.
func TestLowRequestRateMovesNoModels(t *testing.T) {
	e := engine(3, 0)
	runners := []*layout.Runner{runner("r1", "a", "m0"), runner("r2", "b", "m1"), runner("r3", "c", "m2")}
	d := demand(map[string]float64{"m0": 50})
	d.Requests["m0"] = 2
	require.Empty(t, layout.PlanModels(e, runners, d, 5))
}

func TestReplicaGoesToLeastLoadedRunner(t *testing.T) {
	e := engine(4, 0)
	runners := []*layout.Runner{
		runner("busy", "b", "m1"), runner("idle", "b", "m2"), runner("home", "a", "m0"), runner("other", "c", "m1"),
	}
	steps := layout.PlanModels(e, runners, demand(map[string]float64{"m0": 50, "m1": 40, "m2": 1, "m3": 1}), 1)
	require.Equal(t, "idle", steps[0].Runner)
}

func TestStoreLoadLimit(t *testing.T) {
	e := engine(5, 0)
	runners := []*layout.Runner{runner("r1", "a"), runner("r2", "a"), runner("r3", "a"), runner("r4", "a")}
	runners[3].OnDisk = []string{"m4"}
	steps := layout.PlanModels(e, runners, demand(nil), 2)
	fromStore := 0
	for _, step := range steps {
		if step.FromStore {
			fromStore++
		}
	}
	require.Equal(t, 2, fromStore)
	require.Len(t, steps, 3)
}

// In any state, a plan exceeds no runner's memory, uses no busy or draining runner, unloads no model's last serving replica
// and stays within the allowed loads from the weight store.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine(rapid.IntRange(1, 12).Draw(t, "models"), 0)
		var runners []*layout.Runner
		for i := range rapid.IntRange(1, 8).Draw(t, "runners") {
			runners = append(runners, drawRunner(t, e, i))
		}
		work := make(map[string]float64)
		for _, m := range e.Models {
			work[m.Name] = rapid.Float64Range(0, 100).Draw(t, "work")
		}
		maxStoreLoads := rapid.IntRange(0, 4).Draw(t, "most")
		remaining := countServing(runners)
		storeLoads := 0
		for _, step := range layout.PlanModels(e, runners, demand(work), maxStoreLoads) {
			r := findRunner(runners, step.Runner)
			require.False(t, r.Busy || r.Draining)
			used := 70.0
			for m := range r.Models {
				used += 70
				for _, unloaded := range step.Unload {
					if unloaded == m {
						used -= 70
						remaining[m]--
					}
				}
			}
			require.LessOrEqual(t, used, e.WeightsMB)
			require.NotContains(t, r.Models, step.Load)
			if step.FromStore {
				storeLoads++
			}
		}
		require.LessOrEqual(t, storeLoads, maxStoreLoads)
		for m, n := range countServing(runners) {
			if n > 0 {
				require.Positive(t, remaining[m], m)
			}
		}
	})
}

func drawRunner(t *rapid.T, e *catalog.Engine, i int) *layout.Runner {
	r := runner(fmt.Sprintf("r%d", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"))
	for range rapid.IntRange(0, 3).Draw(t, "held") {
		r.Models[rapid.SampledFrom(e.Models).Draw(t, "model").Name] = nil
	}
	r.Busy = rapid.IntRange(0, 4).Draw(t, "busy") == 0
	r.Draining = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
	if r.Busy {
		r.Loading = rapid.SampledFrom(e.Models).Draw(t, "loading").Name
	}
	return r
}

// countServing counts the serving replicas of each model.
func countServing(runners []*layout.Runner) map[string]int {
	out := make(map[string]int)
	for _, r := range runners {
		for m := range r.Models {
			if !r.Draining {
				out[m]++
			}
		}
	}
	return out
}

func findRunner(runners []*layout.Runner, id string) *layout.Runner {
	for _, r := range runners {
		if r.ID == id {
			return r
		}
	}
	return nil
}

func adapterDemand(rates map[string]float64) layout.Demand {
	d := demand(map[string]float64{"m0": 10})
	d.Adapters["m0"] = rates
	return d
}

func TestPlacesRequestedAdapters(t *testing.T) {
	e := engine(1, 6)
	runners := []*layout.Runner{runner("r1", "a", "m0"), runner("r2", "b", "m0")}
	steps := layout.PlanAdapters(e, runners, adapterDemand(map[string]float64{"a1": 5}))
	placed := make(map[string]int)
	for _, step := range steps {
		for _, a := range step.Adapters {
			require.False(t, a.Unload)
			placed[a.Name]++
		}
	}
	require.Len(t, placed, 6, "all adapters of a model are placed if any is requested")
	require.Equal(t, 2, placed["a1"], "a requested adapter also gets a copy in another failure domain")
}

func TestAdapterSlotLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine(2, 20)
		e.AdapterSlots = rapid.IntRange(1, 8).Draw(t, "places")
		rates := make(map[string]float64)
		for i := range 20 {
			if rapid.Bool().Draw(t, "asked") {
				rates[fmt.Sprintf("a%d", i+1)] = rapid.Float64Range(0.01, 5).Draw(t, "rate")
			}
		}
		r := runner("r1", "a", "m0", "m1")
		for i := range rapid.IntRange(0, e.AdapterSlots).Draw(t, "held") {
			r.Models["m0"] = append(r.Models["m0"], fmt.Sprintf("a%d", 20-i))
		}
		held := len(r.Models["m0"])
		for _, step := range layout.PlanAdapters(e, []*layout.Runner{r}, adapterDemand(rates)) {
			for _, a := range step.Adapters {
				if a.Unload {
					held--
				} else {
					held++
				}
				require.LessOrEqual(t, held, e.AdapterSlots)
			}
		}
	})
}

// When slots are few, an adapter that a caller waits for evicts any other that is not recently loaded.
func TestMissingAdapterEvictsAnother(t *testing.T) {
	e := engine(1, 3)
	e.AdapterSlots = 1
	r := runner("r1", "a", "m0")
	r.Models["m0"] = []string{"a1"}
	d := adapterDemand(map[string]float64{"a1": 5, "a2": 0.2})
	require.Empty(t, layout.PlanAdapters(e, []*layout.Runner{r}, d))
	d.Missing = map[layout.Adapter]bool{{Model: "m0", Name: "a2"}: true}
	steps := layout.PlanAdapters(e, []*layout.Runner{r}, d)
	require.Equal(t, []layout.Adapter{{Model: "m0", Name: "a1", Unload: true}, {Model: "m0", Name: "a2"}}, steps[0].Adapters)
	r.RecentlyLoaded = map[layout.Adapter]bool{{Model: "m0", Name: "a1"}: true}
	require.Empty(t, layout.PlanAdapters(e, []*layout.Runner{r}, d))
}

// Adapters in use are evicted last, even if they are requested less; if all are in use, the least requested one is evicted.
func TestEvictsAdaptersInUseLast(t *testing.T) {
	e := engine(3, 3)
	e.AdapterSlots = 2
	r := runner("r1", "a", "m0")
	r.Models["m0"] = []string{"a1", "a2"}
	r.InUse = map[layout.Adapter]bool{{Model: "m0", Name: "a1"}: true}
	d := adapterDemand(map[string]float64{"a1": 1, "a2": 5, "a3": 1})
	d.Missing = map[layout.Adapter]bool{{Model: "m0", Name: "a3"}: true}
	steps := layout.PlanAdapters(e, []*layout.Runner{r}, d)
	require.Equal(t, layout.Adapter{Model: "m0", Name: "a2", Unload: true}, steps[0].Adapters[0])
	r.InUse[layout.Adapter{Model: "m0", Name: "a2"}] = true
	steps = layout.PlanAdapters(e, []*layout.Runner{r}, d)
	require.Equal(t, layout.Adapter{Model: "m0", Name: "a1", Unload: true}, steps[0].Adapters[0])
}

// With few runners as with many, a model that most requests are for gets replicas until none has more than 2.5 times the
// mean work of a runner.
func TestHotModelReplicasScaleWithRunners(t *testing.T) {
	for _, n := range []int{9, 90} {
		e := engine(2, 3)
		e.AdapterSlots = 0
		runners := make([]*layout.Runner, 0, n)
		work := make(map[string]float64)
		for i := range n {
			r := runner(fmt.Sprintf("r%d", i), "a")
			if i == 0 {
				r.Models["m0"] = nil
			}
			runners = append(runners, r)
		}
		work["m0"], work["m1"] = float64(10*n), float64(n)
		d := demand(work)
		replicas := 1
		for _, step := range layout.PlanModels(e, runners, d, n) {
			if step.Load == "m0" {
				replicas++
			}
		}
		mean := (work["m0"] + work["m1"]) / float64(n)
		require.LessOrEqual(t, work["m0"]/float64(replicas), 2.5*mean, "%d runners", n)
	}
}

// A model whose requests name more adapters than its runners have slots for gets another replica.
func TestAdapterSlotShortageAddsReplicas(t *testing.T) {
	e := engine(2, 20)
	e.AdapterSlots = 4
	runners := []*layout.Runner{runner("r1", "a", "m0"), runner("r2", "b", "m1"), runner("r3", "c", "m1")}
	plain := demand(map[string]float64{"m0": 30, "m1": 100})
	loadedModels := func(d layout.Demand) []string {
		var out []string
		for _, step := range layout.PlanModels(e, runners, d, 9) {
			out = append(out, step.Load)
		}
		return out
	}
	require.NotContains(t, loadedModels(plain), "m0")
	rates := make(map[string]float64)
	for i := range 20 {
		rates[fmt.Sprintf("a%d", i+1)] = 4
	}
	plain.Adapters["m0"] = rates
	require.Contains(t, loadedModels(plain), "m0")
}

// A step with an eviction, which is an unload and a load, must not exceed the bound either.
func TestStepsStayWithinBound(t *testing.T) {
	e := engine(1, 20)
	e.AdapterSlots = 6
	r := runner("r1", "a", "m0")
	r.Models["m0"] = []string{"a1", "a2", "a3"}
	d := demand(map[string]float64{"m0": 100})
	d.Adapters["m0"] = map[string]float64{"a1": 0.01, "a2": 0.01, "a3": 0.01}
	d.Missing = make(map[layout.Adapter]bool)
	for i := range 9 {
		name := fmt.Sprintf("a%d", i+10)
		d.Adapters["m0"][name] = 5
		d.Missing[layout.Adapter{Model: "m0", Name: name}] = true
	}
	for _, step := range layout.PlanAdapters(e, []*layout.Runner{r}, d) {
		require.LessOrEqual(t, len(step.Adapters), 4)
	}
}

// While runners have several releases, a stream goes on only at its own: its release must not lose the last replica of a model in demand.
func TestLastReplicaOfReleaseIsKept(t *testing.T) {
	for _, several := range []bool{false, true} {
		t.Run(fmt.Sprint("several releases ", several), func(t *testing.T) {
			e := engine(4, 0)
			var runners []*layout.Runner
			for i := range 5 {
				r := runner(fmt.Sprint("r", i), "a", "m0", "m1", "m2")
				r.Release = "v1"
				r.Busy = i > 0
				r.OnDisk = []string{"m3"}
				if several && i > 0 {
					r.Release = "v2"
				}
				runners = append(runners, r)
			}
			steps := layout.PlanModels(e, runners, demand(map[string]float64{"m0": 30, "m1": 30, "m2": 0, "m3": 200}), 5)
			require.NotEmpty(t, steps)
			require.Equal(t, "r0", steps[0].Runner)
			require.Equal(t, []string{"m2"}, steps[0].Unload, "no work is done for m2")
			runners[0].Models = map[string][]string{"m0": nil, "m1": nil}
			e.WeightsMB = 150
			steps = layout.PlanModels(e, runners[:5], demand(map[string]float64{"m0": 30, "m1": 30, "m3": 200}), 5)
			if several {
				require.Empty(t, steps)
			} else {
				require.NotEmpty(t, steps)
			}
		})
	}
}
