package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// tightConfiguration has runners of 220,000 MB with 8 places for adapters, and three models of 73,250 MB, whose adapters take 66 MB each.
//
//go:embed configuration-tight.json
var tightConfiguration []byte

const (
	roomMB, modelMB, adapterMB = 220_000, 73_250, 66
	adapterPlaces              = 8
	// adapters is how many a model has. They are asked for from burstAfter on, for burstTime; before that, only the model itself is.
	adapters   = 8
	burstAfter = 5 * time.Second
	burstTime  = 12 * time.Second
	// tightCallers is how many callers there are, each with one request every tightInterval.
	tightCallers  = 24
	tightInterval = 200 * time.Millisecond
)

// memory is what a runner holds.
type memory struct {
	mu     sync.Mutex
	models map[string][]string
	// crashed is set once the runner was ordered to load more than it holds.
	crashed bool
}

// usedMB returns the memory of the models and adapters, and the number of adapters.
func (m *memory) usedMB() (used, adapters int) {
	for _, held := range m.models {
		used += modelMB + adapterMB*len(held)
		adapters += len(held)
	}
	return used, adapters
}

// describe returns the models as runners state them.
func (m *memory) describe() string {
	type model struct {
		Name     string   `json:"name"`
		Version  int      `json:"version"`
		Adapters []string `json:"adapters"`
	}
	var all []model
	for _, name := range slices.Sorted(maps.Keys(m.models)) {
		all = append(all, model{Name: name, Version: 1, Adapters: m.models[name]})
	}
	encoded, _ := json.Marshal(all)
	return string(encoded)
}

// playAdapters has callers ask for all adapters of a model. Runners have places for all of them, but not the memory beside their models.
func playAdapters(s *stage, trouble bool) (bool, error) {
	s.store.PutConfiguration(tightConfiguration)
	var overloads atomic.Int64
	var ended atomic.Bool
	var start func(number, run int, models map[string][]string) error
	start = func(number, run int, models map[string][]string) error {
		held := &memory{models: models}
		return s.startRunner(&runner{
			ID:      fmt.Sprintf("i-%d-%d", number+1, run),
			Domain:  domains[number],
			Service: "models",
			Slots:   64,
			Models:  held.describe(),
			order: func(r *runner, body []byte) int {
				status, crashes := carryOut(r, held, body)
				if crashes {
					overloads.Add(1)
					go r.crash()
					time.AfterFunc(restartAfter, func() {
						if !ended.Load() {
							_ = start(number, run+1, make(map[string][]string))
						}
					})
				}
				return status
			},
			serve: func(r *runner, c net.Conn, request *http.Request, body []byte) bool {
				if !held.has(request.Header.Get(names["model"])) {
					return writeAnswer(c, http.StatusMisdirectedRequest, names["instance"]+": "+r.ID+"\r\n", "")
				}
				return serveEcho(r, c, request, body)
			},
		})
	}
	for i := range 2 {
		if err := start(i, 1, map[string][]string{"styler": {}, "fitter": {}, "tagger": {}}); err != nil {
			return false, err
		}
	}
	if err := s.startVMs(3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var burst atomic.Bool
	var callers sync.WaitGroup
	var plain, adapted counts
	for i := range tightCallers {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(tightInterval):
				}
				model, results := "styler", &plain
				if burst.Load() && n%2 == 0 {
					model, results = "styler/a"+strconv.Itoa(1+(i+n/2)%adapters), &adapted
				}
				id := fmt.Sprintf("%d-%d", i, n)
				results.add(ask(s.vms[(i+n)%len(s.vms)].Caller, http.MethodPost, "/quote/2f", id, quoteHeader(model, "aa:100,"+id+":200"), "prompt", 4*time.Second))
			}
		})
	}
	time.Sleep(burstAfter)
	s.note("requests for the model: %s", plain.String())
	if trouble {
		s.note("half of the requests are for its %d adapters from now on", adapters)
		burst.Store(true)
	}
	time.Sleep(burstTime)
	ended.Store(true)
	close(stop)
	callers.Wait()
	s.note("requests for the model: %s; for adapters: %s", plain.String(), adapted.String())
	s.note("orders beyond the memory of a runner: %d", overloads.Load())
	return overloads.Load() > 0, nil
}

// has reports whether the runner has a model, or an adapter of it that is named after a slash.
func (m *memory) has(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	model, adapter, _ := strings.Cut(name, "/")
	held, known := m.models[model]
	return known && (adapter == "" || slices.Contains(held, adapter))
}

// carryOut carries out an order at once. One that exceeds the runner's memory or its places crashes it.
func carryOut(r *runner, held *memory, body []byte) (status int, crashes bool) {
	var order map[string]any
	if err := json.Unmarshal(body, &order); err != nil {
		return http.StatusBadRequest, false
	}
	model, _ := order["model"].(string)
	adapter, _ := order["adapter"].(string)
	unload := order[names["operation"]] == "unload"
	held.mu.Lock()
	defer held.mu.Unlock()
	if held.crashed {
		return http.StatusConflict, false
	}
	r.mu.Lock()
	expected, stated := order[names["precondition"]].(float64)
	if stated && int(expected) != r.Accepted {
		r.mu.Unlock()
		return http.StatusConflict, false
	}
	r.Accepted++
	r.mu.Unlock()
	adapters, has := held.models[model]
	switch {
	case adapter != "" && !has:
		return http.StatusMisdirectedRequest, false
	case adapter != "" && unload:
		held.models[model] = slices.DeleteFunc(adapters, func(name string) bool { return name == adapter })
	case adapter != "":
		held.models[model] = append(adapters, adapter)
	case unload:
		delete(held.models, model)
	case !has:
		held.models[model] = []string{}
	}
	used, count := held.usedMB()
	r.stage.note("%s: order %v of %s %s; it holds %d MB of %d MB and %d adapters of %d", r.ID, order[names["operation"]], model, adapter, used, roomMB, count, adapterPlaces)
	r.mu.Lock()
	r.Models = held.describe()
	r.mu.Unlock()
	if used > roomMB || count > adapterPlaces {
		held.crashed = true
		r.stage.note("%s crashes: it was ordered to load more than it holds", r.ID)
		return http.StatusAccepted, true
	}
	go r.register()
	return http.StatusAccepted, false
}
