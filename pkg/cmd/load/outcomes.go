package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// formatOutcomes formats counts by outcome in one line, sorted by name.
func formatOutcomes(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
