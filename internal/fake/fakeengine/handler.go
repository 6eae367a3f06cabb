package fakeengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/endpoint/httpendpoint"
)

const (
	defaultMaxTokens = 16
	bytesPerToken    = 4
	finishReason     = "stop"
)

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(e.Report())
	})
	r.Post("/orders", e.serveOrder)
	r.Post("/v1/chat/completions", e.serveCompletion)
	return r
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order endpoint.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response, respond := e.handleOrder(order)
	if !respond {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(response)
}

type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (c completionRequest) prompt() string {
	prompt := c.Model
	for _, message := range c.Messages {
		prompt += "\n" + message.Content
	}
	return prompt
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var call completionRequest
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if call.MaxTokens == 0 {
		call.MaxTokens = defaultMaxTokens
	}
	e.mu.Lock()
	serves := e.memory.serves(e.baseModel(call.Model))
	faults := e.faults
	incarnation := e.incarnation
	e.mu.Unlock()
	if !serves {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := r.Header.Get(httpendpoint.RequestIDHeader)
	if faults.WrongRequestID {
		id = "foreign"
	}
	if !e.acquireSlot(r, len(call.prompt())/bytesPerToken) {
		e.cancelled.Add(1)
		return
	}
	defer func() { <-e.slots }()
	w.Header().Set(httpendpoint.RequestIDHeader, id)
	w.Header().Set(httpendpoint.IncarnationHeader, incarnation)
	if !call.Stream {
		e.writeFull(w, r, call, id, faults)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get(httpendpoint.ResumeFromHeader))
	e.writeStream(w, r, call, id, from, faults)
}

// acquireSlot waits for a free slot and then for the time of the prefill; it returns false, without a slot, if the caller
// disconnects.
func (e *Engine) acquireSlot(r *http.Request, prefillTokens int) bool {
	e.waiting.Add(1)
	e.waitingPrefill.Add(int64(prefillTokens))
	defer e.waiting.Add(-1)
	defer e.waitingPrefill.Add(-int64(prefillTokens))
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	if e.options.PrefillPerSecond <= 0 {
		return true
	}
	if !e.sleep(r, time.Duration(float64(prefillTokens)/e.options.PrefillPerSecond*float64(time.Second))) {
		<-e.slots
		return false
	}
	return true
}

// sleep waits for d and returns false if the caller disconnects first.
func (e *Engine) sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeStream sends the answer as server-sent events, starting with the token at position from.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, call completionRequest, id string, from int, faults Faults) {
	flusher, _ := w.(http.Flusher)
	prompt := call.prompt()
	for i := from; i < call.MaxTokens; i++ {
		if i > from && !e.sleep(r, e.options.TokenInterval) {
			e.cancelled.Add(1)
			return
		}
		if faults.AbortAfterTokens > 0 && i-from >= faults.AbortAfterTokens {
			panic(http.ErrAbortHandler)
		}
		_, err := fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", id, call.Model, Token(prompt, i))
		if err != nil {
			e.cancelled.Add(1)
			return
		}
		flusher.Flush()
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":%q}]}\n\ndata: [DONE]\n\n", id, call.Model, finishReason)
	e.answered.Add(1)
}

// writeFull sends the answer as one JSON document.
func (e *Engine) writeFull(w http.ResponseWriter, r *http.Request, call completionRequest, id string, faults Faults) {
	if !e.sleep(r, time.Duration(call.MaxTokens)*e.options.TokenInterval) {
		e.cancelled.Add(1)
		return
	}
	if faults.AbortAfterTokens > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"id\":%q,\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q},\"finish_reason\":%q}]}\n", id, call.Model, Text(call.prompt(), call.MaxTokens), finishReason)
	e.answered.Add(1)
}
