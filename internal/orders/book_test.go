package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// An adapter that a step under way takes off, or whose model it takes off, has no copy there any more: it must be brought to
// another runner at once, not when the step ends, which waits for requests.
func TestStepUnderWayCounts(t *testing.T) {
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
		"adapters come and go": {
			layout.Step{Adapters: []layout.Adapter{{Model: "m0", Name: "a1", Drop: true}, {Model: "m0", Name: "a3"}}},
			map[string][]string{"m0": {"a2", "a3"}, "m1": {"a1"}},
		},
		"adapter of a model that is not there": {
			layout.Step{Adapters: []layout.Adapter{{Model: "m7", Name: "a1"}}},
			held,
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := &book{
				runner: &roster.Runner{ID: "r1"},
				models: held,
				busy:   true,
				step:   tt.step,
			}
			require.Equal(t, tt.want, b.view(time.Time{}, nil).Models)
			require.Equal(t, []string{"a1", "a2"}, held["m0"])
		})
	}
}
