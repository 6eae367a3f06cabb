package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often a runner writes its registration.
const heartbeat = 1200 * time.Millisecond

// runner is a stand-in of a sound runner. One with models streams events, others answer with a short body.
type runner struct {
	id      string
	service string
	version string
	zone    string
	address string
	born    int64
	stage   *stage

	mu     sync.Mutex
	models map[string][]string
	orders int
	fence  float64
	beats  int
	runs   int
	// busyUntil is when the order that is being carried out is done, and loading the model that it loads.
	busyUntil time.Time
	loading   string
}

// loadTime is how long a load of a model takes.
const loadTime = 3200 * time.Millisecond

// finish ends an order whose time is over; the caller holds the lock.
func (r *runner) finish() {
	if r.loading != "" && !time.Now().Before(r.busyUntil) {
		r.models[r.loading] = []string{}
		r.loading = ""
	}
}

func (r *runner) modelList() []map[string]any {
	list := []map[string]any{}
	for name, adapters := range r.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": adapters})
	}
	return list
}

// register writes the registration of the runner until the stage ends.
func (r *runner) register() {
	for r.stage.ctx.Err() == nil {
		r.mu.Lock()
		r.finish()
		r.beats++
		document := clone(names.Registration)
		document["service"], document["address"], document["zone"] = r.service, r.address, r.zone
		document["version"], document["models"], document["born"] = r.version, r.modelList(), r.born
		document[names.RegistrationCount] = r.beats
		r.mu.Unlock()
		if !r.stage.store.isAway() {
			r.stage.store.put(names.Topics["runners"], r.id, encode(document))
		}
		r.stage.sleep(heartbeat)
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set(names.Headers["instance"], r.id)
	if expected := request.Header.Get(names.Headers["expected"]); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case names.Calls["report"]:
		r.serveReport(w)
	case names.Calls["order"]:
		r.serveOrder(w, request)
	default:
		r.serveRequest(w, request)
	}
}

func (r *runner) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finish()
	document := clone(names.Report)
	document["busy"] = r.loading != ""
	document["models"], document["born"] = r.modelList(), r.born
	document[names.ReportOrders] = r.orders
	respond(w, http.StatusOK, document)
}

// serveOrder accepts an order. A load takes loadTime, other orders are carried out at once.
func (r *runner) serveOrder(w http.ResponseWriter, request *http.Request) {
	var order map[string]any
	if json.NewDecoder(request.Body).Decode(&order) != nil || order["holder"] == nil || order[names.Fence] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finish()
	status := http.StatusAccepted
	fence, _ := order[names.Fence].(float64)
	expected, stated := order[names.Precondition].(float64)
	model, _ := order["model"].(string)
	adapter, _ := order["adapter"].(string)
	_, held := r.models[model]
	switch {
	case fence < r.fence:
		status = http.StatusPreconditionFailed
	case r.loading != "" && adapter == "", stated && int(expected) != r.orders:
		status = http.StatusConflict
	case order["operation"] == "unload":
		delete(r.models, model)
		r.orders++
	case adapter != "":
		r.models[model] = append(r.models[model], adapter)
		r.orders++
	case held:
		status = http.StatusOK
	default:
		r.loading, r.busyUntil = model, time.Now().Add(loadTime)
		r.orders++
	}
	r.fence = max(r.fence, fence)
	r.stage.log("order at %s: %v %v %v by %v: %d", r.id, order["operation"], model, adapter, order["holder"], status)
	w.WriteHeader(status)
}

func (r *runner) serveRequest(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	model := request.Header.Get(names.Headers["model"])
	r.mu.Lock()
	r.finish()
	_, held := r.models[model]
	r.runs++
	run := r.runs
	r.mu.Unlock()
	id := request.Header.Get(names.Headers["attempt"])
	w.Header().Set(names.Headers["attempt"], id)
	if model != "" && !held {
		w.Header().Set(names.Headers["notRun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.stage.ran(id, r)
	w.Header().Set(names.Headers["signature"], fmt.Sprintf("%s.%d", r.id, run))
	w.Header().Set(names.Headers["load"], "1,0,64")
	if model == "" {
		_, _ = w.Write(append([]byte("answer to "), body...))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(request.Header.Get(names.Headers["after"]))
	for event := after + 1; event <= r.stage.events; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d by %s\n\n", event, event, r.version)
		if http.NewResponseController(w).Flush() != nil || request.Context().Err() != nil {
			return
		}
		time.Sleep(r.stage.pause)
	}
}
