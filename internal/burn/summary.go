package burn

import "github.com/cowsliparch/cowsliparch/internal/configuration"

// worstPerVM is the number of models and callers with the most missed calls that a VM reports.
const worstPerVM = 32

// Summary holds the counts of one or more VMs; the counts of an objective are in the order of Windows.
type Summary struct {
	Objectives []ObjectiveCount
	Models     []NamedCount
	Callers    []NamedCount
}

// ObjectiveCount holds the counts of one service and class over each window.
type ObjectiveCount struct {
	Service string
	Class   configuration.Class
	Counts  []Count
}

// Merge returns the sum of the summaries of several VMs.
func Merge(summaries ...Summary) Summary {
	sums := make(map[ObjectiveKey][]Count)
	var keys []ObjectiveKey
	models := make(map[string]Count)
	callers := make(map[string]Count)
	for _, summary := range summaries {
		for _, o := range summary.Objectives {
			key := ObjectiveKey{
				Service: o.Service,
				Class:   o.Class,
			}
			if sums[key] == nil {
				sums[key] = make([]Count, len(Windows))
				keys = append(keys, key)
			}
			for i := range min(len(o.Counts), len(Windows)) {
				sums[key][i] = sums[key][i].Plus(o.Counts[i])
			}
		}
		addCounts(models, summary.Models)
		addCounts(callers, summary.Callers)
	}
	merged := Summary{
		Models:  countsByName(models).worst(),
		Callers: countsByName(callers).worst(),
	}
	for _, key := range keys {
		merged.Objectives = append(merged.Objectives, ObjectiveCount{
			Service: key.Service,
			Class:   key.Class,
			Counts:  sums[key],
		})
	}
	return merged
}

func addCounts(sums map[string]Count, counts []NamedCount) {
	for _, n := range counts {
		sums[n.Name] = sums[n.Name].Plus(n.Count)
	}
}
