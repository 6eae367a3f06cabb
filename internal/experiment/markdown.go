package experiment

import (
	"fmt"
	"strings"
)

// Markdown returns comparisons of one deployment as a table.
func Markdown(deployment string, comparisons []Comparison) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\nAttained answers a second and accelerator.\n\n", deployment)
	b.WriteString("| Scenario | Load | Ours | Random, FIFO | Least loaded | Oracle | Of oracle | Admitted in time | Refused | Moves | Eager moves | Cross-region MB | Fairness |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	moves, eager := 0, 0
	for _, c := range comparisons {
		ours := c.Results[Ours]
		fmt.Fprintf(&b, "| %s | %.1f | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f | %d of %d | %d | %d | %.1f | %.3f |\n",
			c.Scenario, c.Load, ours.PerAccelerator, c.Results[RandomFIFO].PerAccelerator, c.Results[LeastLoaded].PerAccelerator,
			c.Results[Oracle].PerAccelerator, c.OfOracle(), ours.InTime, ours.Refused, ours.Calls, ours.Moves, c.Eager.Moves,
			float64(ours.CrossBytes)/1e6, ours.Fairness)
		moves += ours.Moves
		eager += c.Eager.Moves
	}
	fmt.Fprintf(&b, "\nMoves in all: %d, and %d by a planner without hysteresis (%.2f of them).\n", moves, eager, float64(moves)/float64(max(eager, 1)))
	return b.String()
}
