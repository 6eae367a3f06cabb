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

const burnTimeout = 2 * time.Second

// serveOwnBurn answers the counts of this VM alone.
func (e *Entry) serveOwnBurn(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.burn.Summary(e.Clock.Now()))
}

// Burn implements operator.Burner over every entry VM of the failure domain.
func (e *Entry) Burn(r *http.Request) operatorapi.Burn {
	summaries := []burn.Summary{e.burn.Summary(e.Clock.Now())}
	reached := []string{e.Settings.VM.Name}
	var unreached []string
	var mu sync.Mutex
	var asking sync.WaitGroup
	for _, vm := range e.entries() {
		if vm.FailureDomain != e.Settings.VM.FailureDomain || vm.Name == e.Settings.VM.Name {
			continue
		}
		asking.Go(func() {
			summary, err := askBurn(r.Context(), vm)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreached = append(unreached, vm.Name)
				return
			}
			reached = append(reached, vm.Name)
			summaries = append(summaries, summary)
		})
	}
	asking.Wait()
	report := burn.NewReport(e.State().Configuration(), burn.Merge(summaries...), unreached)
	return wireBurn(report, reached)
}

func askBurn(ctx context.Context, vm vmlist.VM) (burn.Summary, error) {
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

func wireBurn(report burn.Report, reached []string) operatorapi.Burn {
	out := operatorapi.Burn{
		Unreached:  report.Unreached,
		ReachedVMs: reached,
		Models:     wireNamed(report.WorstModels),
		Callers:    wireNamed(report.WorstCallers),
	}
	for _, window := range burn.Windows {
		out.Windows = append(out.Windows, window.String())
	}
	for _, line := range report.Lines {
		out.Lines = append(out.Lines, operatorapi.BurnLine{
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
	return out
}

func wireNamed(counts []burn.Named) []operatorapi.NamedCount {
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
