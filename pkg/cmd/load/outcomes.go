package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// outcomes returns counts by outcome as one line, in order of name.
func outcomes(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
