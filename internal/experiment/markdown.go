package experiment

import (
	"fmt"
	"strings"
)

// Markdown returns the comparisons of one deployment as a Markdown table.
func Markdown(deployment string, comparisons []Comparison) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\nThe columns of the policies show goodput: calls answered in time, per second and accelerator.\n\n", deployment)
	b.WriteString("| Scenario | Load | Ours | Random, FIFO | Least loaded | Oracle | Ours/oracle | Admitted in time | Refused | Moves | Moves without hysteresis | Cross-region MB | Fairness |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	moves, eager := 0, 0
	for _, c := range comparisons {
		ours := c.Results[Ours]
		fmt.Fprintf(&b, "| %s | %.1f | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f | %d of %d | %d | %d | %.1f | %.3f |\n",
			c.Scenario, c.Load, ours.PerAccelerator, c.Results[RandomFIFO].PerAccelerator, c.Results[LeastLoaded].PerAccelerator,
			c.Results[Oracle].PerAccelerator, c.OracleRatio(), ours.InTime, ours.Refused, ours.Calls, ours.Moves, c.Eager.Moves,
			float64(ours.CrossBytes)/1e6, ours.Fairness)
		moves += ours.Moves
		eager += c.Eager.Moves
	}
	fmt.Fprintf(&b, "\nTotal moves: %d, compared with %d by a planner without hysteresis (ratio %.2f).\n", moves, eager, float64(moves)/float64(max(eager, 1)))
	return b.String()
}
