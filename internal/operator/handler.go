package operator

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/replay"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// maxChangeBytes limits the request body of a change.
const maxChangeBytes = 4 << 20

// Explainer explains recent routing decisions and model moves.
type Explainer interface {
	Explain(filter string) operatorapi.Explanation
}

// BurnReporter reports the burn rates of this VM's failure domain.
type BurnReporter interface {
	Burn(r *http.Request) operatorapi.Burn
}

// Dependencies holds what a handler uses.
type Dependencies struct {
	VM           string
	Follower     *replay.Follower[configuration.State]
	Publisher    *Publisher
	Explainer    Explainer
	BurnReporter BurnReporter
}

// Handler serves the operator API.
type Handler struct {
	Dependencies
}

// New returns a handler.
func New(d Dependencies) *Handler {
	return &Handler{
		Dependencies: d,
	}
}

// Routes returns the router to mount at /operator.
func (h *Handler) Routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/configuration", h.serveConfiguration)
	r.Post("/changes", h.serveChange)
	r.Get("/changes/{id}", h.serveOutcome)
	r.Get("/explain", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, h.Explainer.Explain(r.URL.Query().Get("About")))
	})
	r.Get("/burn", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, h.BurnReporter.Burn(r))
	})
	return r
}

func (h *Handler) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	state := h.Follower.State()
	inForce := operatorapi.InForce{
		VM:       h.VM,
		Version:  uint64(state.Version()),
		Preset:   state.Preset().Name,
		Document: state.Document(),
	}
	for _, preset := range state.Configuration().Presets {
		inForce.Presets = append(inForce.Presets, preset.Name)
	}
	writeJSON(w, inForce)
}

func (h *Handler) serveChange(w http.ResponseWriter, r *http.Request) {
	var change operatorapi.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&change); err != nil {
		writeJSON(w, invalidOutcome("", err.Error(), nil))
		return
	}
	writeJSON(w, h.Publisher.Publish(r.Context(), change))
}

func (h *Handler) serveOutcome(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	outcome, ok := h.Publisher.Outcome(id)
	if !ok {
		outcome = operatorapi.Outcome{
			ID:     id,
			Answer: operatorapi.UnknownYet,
			Reason: "no record of this change was read here",
		}
	}
	writeJSON(w, outcome)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
