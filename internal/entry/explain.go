package entry

import (
	"github.com/cowsliparch/cowsliparch/internal/modelcall"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// maxDecisions is how many of the latest routing decisions an explanation lists.
const maxDecisions = 20

// Explain implements operator.Explainer: filter names a model, caller, request or endpoint; an empty filter matches all.
func (e *Entry) Explain(filter string) operatorapi.Explanation {
	explanation := operatorapi.Explanation{
		VM: e.Settings.VM.Name,
	}
	decisions := e.decisions.Last(maxDecisions, func(d modelcall.Decision) bool {
		return filter == "" || d.Model == filter || d.RequestID == filter || d.Caller == filter
	})
	for _, d := range decisions {
		explanation.Decisions = append(explanation.Decisions, operatorapi.Decision{
			At:        d.At,
			VM:        e.Settings.VM.Name,
			RequestID: d.RequestID,
			Caller:    d.Caller,
			Model:     d.Model,
			Class:     d.Class,
			To:        d.Target,
			Predicted: d.Predicted,
			Due:       d.TimeLeft,
			Refused:   string(d.Refused),
		})
	}
	for _, m := range e.fleet.State().Ledger().Moves() {
		if filter != "" && m.Intent.Model != filter && m.Intent.Endpoint != filter {
			continue
		}
		explanation.Moves = append(explanation.Moves, operatorapi.Move{
			At:       m.At,
			ID:       m.Intent.ID,
			Action:   string(m.Intent.Action),
			Model:    m.Intent.Model,
			Endpoint: m.Intent.Endpoint,
			Sender:   m.Intent.VM,
			Why:      m.Intent.Why,
			Settled:  string(m.Settled),
		})
	}
	return explanation
}
