package capacity

import (
	"fmt"
	"strings"
)

// Markdown returns the generated section of docs/CAPACITY.md.
func (r Results) Markdown() string {
	var b strings.Builder
	b.WriteString("## What a node spends at the target\n\n")
	r.writeRoles(&b)
	b.WriteString("\n## What the log service is asked for\n\n")
	r.writeAppends(&b)
	b.WriteString("\n## The slopes\n\n")
	r.writeSlopes(&b)
	return b.String()
}

func (r Results) writeRoles(b *strings.Builder) {
	b.WriteString("| Role | Mechanism | Core | Memory | Traffic | Assumptions |\n| --- | --- | --- | --- | --- | --- |\n")
	var sum Role
	for _, role := range r.Roles() {
		fmt.Fprintf(b, "| %s | %s | %.2f%% | %s | %s | %s |\n", role.Name, role.Mechanism, 100*role.Core,
			bytesText(role.Memory), rateText(role.Traffic), role.Basis)
		if role.Control {
			sum.Core += role.Core
			sum.Memory += role.Memory
			sum.Traffic += role.Traffic
		}
	}
	fmt.Fprintf(b, "| **Control plane, all roles on one node** | | %.2f%% | %s | %s | |\n", 100*sum.Core, bytesText(sum.Memory), rateText(sum.Traffic))
	fmt.Fprintf(b, "| **Budget** | | %.1f%% | %s | %s | |\n", 100*CoreBudget, bytesText(MemoryBudget), rateText(TrafficBudget))
	fmt.Fprintf(b, "\nCPU time: %s. Memory: %s. Traffic: %s.\n", budgetText(sum.Core, CoreBudget),
		budgetText(sum.Memory, MemoryBudget), budgetText(sum.Traffic, TrafficBudget))
	b.WriteString("\nRoles that exceed a budget on their own:\n\n")
	for _, role := range r.Roles() {
		if role.Control && (role.Core > CoreBudget || role.Memory > MemoryBudget || role.Traffic > TrafficBudget) {
			fmt.Fprintf(b, "- %s: CPU time %s, memory %s, traffic %s\n", role.Name, budgetText(role.Core, CoreBudget),
				budgetText(role.Memory, MemoryBudget), budgetText(role.Traffic, TrafficBudget))
		}
	}
}

func budgetText(value, budget float64) string {
	if value <= budget {
		return fmt.Sprintf("within budget (%.0f%% of it)", 100*value/budget)
	}
	return fmt.Sprintf("over budget (%.1f times it)", value/budget)
}

func (r Results) writeAppends(b *strings.Builder) {
	b.WriteString("| Writer | Appends per second | Assumptions |\n| --- | --- | --- |\n")
	sum := 0.0
	for _, a := range r.Appends() {
		fmt.Fprintf(b, "| %s | %.2f | %s |\n", a.Writer, a.PerSecond, a.Basis)
		sum += a.PerSecond
	}
	fmt.Fprintf(b, "| **All** | %.1f | %s, at most %d |\n", sum, budgetText(sum, LogAppendBudget), LogAppendBudget)
}

func (r Results) writeSlopes(b *strings.Builder) {
	b.WriteString("| Quantity | Size | Points | Intercept | Slope | R² |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.All() {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f: %.4g", p.Size, p.Value))
		}
		fmt.Fprintf(b, "| %s (%s) | %s | %s | %.3g | %.3g | %.3f |\n", s.Name, s.Unit, s.Size, strings.Join(points, ", "), s.Fit.Base, s.Fit.Slope, s.Fit.R2)
	}
}

func bytesText(n float64) string {
	switch {
	case n == 0:
		return "-"
	case n < 1<<20:
		return fmt.Sprintf("%.0f KB", n/1024)
	default:
		return fmt.Sprintf("%.1f MB", n/(1<<20))
	}
}

func rateText(n float64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f B/s", n)
}
