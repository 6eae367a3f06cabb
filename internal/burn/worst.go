package burn

import (
	"cmp"
	"slices"
)

// maxNames is the maximum number of models or callers that are counted individually.
const maxNames = 4096

// NamedCount is the count of one model or caller.
type NamedCount struct {
	Name  string
	Count Count
}

// countsByName counts calls by model or caller, for the first maxNames of them.
type countsByName map[string]Count

func (n countsByName) add(name string, good bool) {
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

// Worst returns at most limit names with missed calls, in descending order of missed calls.
func Worst(counts []NamedCount, limit int) []NamedCount {
	sorted := slices.Clone(counts)
	slices.SortFunc(sorted, func(a, b NamedCount) int {
		return cmp.Or(cmp.Compare(b.Count.Bad, a.Count.Bad), cmp.Compare(a.Name, b.Name))
	})
	sorted = slices.DeleteFunc(sorted, func(n NamedCount) bool { return n.Count.Bad == 0 })
	return sorted[:min(limit, len(sorted))]
}
