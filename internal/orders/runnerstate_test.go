package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// An adapter that a step in progress unloads, alone or with its model, must no longer count as a copy: its replacement has
// to be loaded on another runner at once, not when the step ends, because the step waits for requests to finish.
func TestPlannerSeesStepInProgress(t *testing.T) {
	held := map[string][]string{"m0": {"a1", "a2"}, "m1": {"a1"}}
	for name, tt := range map[string]struct {
		step layout.Step
		want map[string][]string
	}{
		"none": {
			layout.Step{},
			held,
		},
		"unload of a model": {
			layout.Step{Unload: []string{"m0"}, Load: "m2"},
			map[string][]string{"m0": nil, "m1": {"a1"}},
		},
		"adapters loaded and unloaded": {
			layout.Step{Adapters: []layout.Adapter{{Model: "m0", Name: "a1", Unload: true}, {Model: "m0", Name: "a3"}}},
			map[string][]string{"m0": {"a2", "a3"}, "m1": {"a1"}},
		},
		"adapter of a model that is not loaded": {
			layout.Step{Adapters: []layout.Adapter{{Model: "m7", Name: "a1"}}},
			held,
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := &runnerState{
				registration: &roster.Runner{ID: "r1"},
				models:       held,
				busy:         true,
				step:         tt.step,
			}
			require.Equal(t, tt.want, state.layoutRunner(time.Time{}, nil).Models)
			require.Equal(t, []string{"a1", "a2"}, held["m0"])
		})
	}
}
