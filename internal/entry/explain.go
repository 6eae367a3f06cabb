package entry

import (
	"github.com/cowsliparch/cowsliparch/internal/modelcall"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

const explainedDecisions = 20

// Explain implements operator.Explainer: about names a model, caller or request, and empty stands for all.
func (e *Entry) Explain(about string) operatorapi.Explanation {
	explanation := operatorapi.Explanation{
		VM: e.Settings.VM.Name,
	}
	decisions := e.decisions.Last(explainedDecisions, func(d modelcall.Decision) bool {
		return about == "" || d.Model == about || d.RequestID == about || d.Caller == about
	})
	for _, d := range decisions {
		explanation.Decisions = append(explanation.Decisions, operatorapi.Decision{
			At:        d.At,
			VM:        e.Settings.VM.Name,
			RequestID: d.RequestID,
			Caller:    d.Caller,
			Model:     d.Model,
			Class:     d.Class,
			To:        d.To,
			Predicted: d.Predicted,
			Due:       d.Due,
			Refused:   string(d.Refused),
		})
	}
	for _, m := range e.fleet.State().Ledger().Moves() {
		if about != "" && m.Intent.Model != about && m.Intent.Endpoint != about {
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
