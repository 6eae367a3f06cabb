package fakelog

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// Handler serves the log over HTTP.
func (l *Log) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/streams/{stream}/records", l.serveAppend)
	r.Get("/streams/{stream}/records", l.serveRead)
	return r
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body struct{ Payload []byte }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	offset, err := l.Append(r.Context(), chi.URLParam(r, "stream"), body.Payload)
	var lost *logservice.ResponseLostError
	if errors.As(err, &lost) {
		// Aborts the connection, as a log service that fails after adding the record would.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(struct{ Offset logservice.Offset }{Offset: offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, fromErr := strconv.ParseUint(query.Get("From"), 10, 64)
	limit, limitErr := strconv.Atoi(query.Get("Limit"))
	wait, waitErr := time.ParseDuration(query.Get("Wait"))
	if errors.Join(fromErr, limitErr, waitErr) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	page, err := l.Read(r.Context(), chi.URLParam(r, "stream"), logservice.Offset(from), limit, wait)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(page)
}
