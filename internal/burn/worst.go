package burn

import (
	"cmp"
	"slices"
)

// maxNames bounds how many models or callers are counted apart.
const maxNames = 4096

// Named is the count of one model or caller.
type Named struct {
	Name  string
	Count Count
}

// names counts calls by model or caller, the first maxNames of them.
type names map[string]Count

func (n names) add(name string, good bool) {
	count, ok := n[name]
	if !ok && len(n) >= maxNames {
		return
	}
	count.Total++
	if !good {
		count.Bad++
	}
	n[name] = count
}

// Worst returns the names with the most missed calls, worst first.
func Worst(counts []Named, most int) []Named {
	sorted := slices.Clone(counts)
	slices.SortFunc(sorted, func(a, b Named) int {
		return cmp.Or(cmp.Compare(b.Count.Bad, a.Count.Bad), cmp.Compare(a.Name, b.Name))
	})
	sorted = slices.DeleteFunc(sorted, func(n Named) bool { return n.Count.Bad == 0 })
	return sorted[:min(most, len(sorted))]
}
