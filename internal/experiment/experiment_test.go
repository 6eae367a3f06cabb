package experiment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/experiment"
)

func TestX(t *testing.T) {
	for _, s := range experiment.Scenarios() {
		for _, load := range []float64{0.7, 1, 1.5, 3} {
			for _, p := range experiment.Policies() {
				began := time.Now()
				r, err := experiment.Play(experiment.Run{
					Deployment: "peplos",
					Scenario:   s,
					Policy:     p,
					Load:       load,
					Duration:   time.Minute,
					Seed:       1,
				})
				require.NoError(t, err)
				t.Logf("%-12s %.1f %-11s per-acc %.2f intime %.3f refused %d late %d lost %d moves %d cross %d fair %.3f  %s", s, load, p, r.PerAccelerator, r.InTime, r.Refused, r.Late, r.Lost, r.Moves, r.CrossBytes, r.Fairness, time.Since(began))
			}
		}
	}
}
