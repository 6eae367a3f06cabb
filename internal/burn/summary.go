package burn

import "github.com/cowsliparch/cowsliparch/internal/configuration"

// worstPerVM is how many of the worst models and callers a VM reports.
const worstPerVM = 32

// Summary is what one VM counted; the counts of an objective stand in the order of Windows.
type Summary struct {
	Objectives []ObjectiveCount
	Models     []Named
	Callers    []Named
}

// ObjectiveCount is the count of one service and class over each window.
type ObjectiveCount struct {
	Service string
	Class   configuration.Class
	Counts  []Count
}

// Merge returns the sum of the summaries of several VMs.
func Merge(summaries ...Summary) Summary {
	sums := make(map[Key][]Count)
	var order []Key
	models := make(map[string]Count)
	callers := make(map[string]Count)
	for _, summary := range summaries {
		for _, o := range summary.Objectives {
			key := Key{
				Service: o.Service,
				Class:   o.Class,
			}
			if sums[key] == nil {
				sums[key] = make([]Count, len(Windows))
				order = append(order, key)
			}
			for i := range min(len(o.Counts), len(Windows)) {
				sums[key][i] = sums[key][i].Plus(o.Counts[i])
			}
		}
		addNamed(models, summary.Models)
		addNamed(callers, summary.Callers)
	}
	merged := Summary{
		Models:  names(models).named(),
		Callers: names(callers).named(),
	}
	for _, key := range order {
		merged.Objectives = append(merged.Objectives, ObjectiveCount{
			Service: key.Service,
			Class:   key.Class,
			Counts:  sums[key],
		})
	}
	return merged
}

func addNamed(sums map[string]Count, counts []Named) {
	for _, n := range counts {
		sums[n.Name] = sums[n.Name].Plus(n.Count)
	}
}
