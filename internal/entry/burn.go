package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/burn"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// burnTimeout bounds the request to each entry VM for its counts.
const burnTimeout = 2 * time.Second

// serveLocalBurn returns the counts of this VM only.
func (e *Entry) serveLocalBurn(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.burn.Summary(e.Clock.Now()))
}

// Burn implements operator.BurnReporter: it merges the counts of all entry VMs in the failure domain.
func (e *Entry) Burn(r *http.Request) operatorapi.Burn {
	summaries := []burn.Summary{e.burn.Summary(e.Clock.Now())}
	reached := []string{e.Settings.VM.Name}
	var unreachable []string
	var mu sync.Mutex
	var requests sync.WaitGroup
	for _, vm := range e.entryVMs() {
		if vm.FailureDomain != e.Settings.VM.FailureDomain || vm.Name == e.Settings.VM.Name {
			continue
		}
		requests.Go(func() {
			summary, err := fetchBurn(r.Context(), vm)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, vm.Name)
				return
			}
			reached = append(reached, vm.Name)
			summaries = append(summaries, summary)
		})
	}
	requests.Wait()
	report := burn.NewReport(e.State().Configuration(), burn.Merge(summaries...), unreachable)
	return burnResponse(report, reached)
}

// fetchBurn requests the counts of another entry VM.
func fetchBurn(ctx context.Context, vm vmlist.VM) (burn.Summary, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	var summary burn.Summary
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Address+"/burn", nil)
	if err != nil {
		return summary, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return summary, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&summary)
	return summary, err
}

// burnResponse converts a report to the type of the operator API.
func burnResponse(report burn.Report, reached []string) operatorapi.Burn {
	response := operatorapi.Burn{
		Unreached:  report.Unreached,
		ReachedVMs: reached,
		Models:     namedCounts(report.WorstModels),
		Callers:    namedCounts(report.WorstCallers),
	}
	for _, window := range burn.Windows {
		response.Windows = append(response.Windows, window.String())
	}
	for _, line := range report.Lines {
		response.Lines = append(response.Lines, operatorapi.BurnLine{
			Service:    line.Service,
			Class:      string(line.Class),
			Share:      line.Share,
			Burn:       line.Burn,
			Calls:      line.Calls,
			BudgetLeft: line.BudgetLeft,
			FastAlert:  line.FastAlert,
			SlowAlert:  line.SlowAlert,
		})
	}
	return response
}

func namedCounts(counts []burn.NamedCount) []operatorapi.NamedCount {
	var out []operatorapi.NamedCount
	for _, n := range counts {
		out = append(out, operatorapi.NamedCount{
			Name:  n.Name,
			Total: n.Count.Total,
			Bad:   n.Count.Bad,
		})
	}
	return out
}
