package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstPiece is how long each runner works until the first event, and betweenPieces how long until each further one.
	firstPiece    = 480 * time.Millisecond
	betweenPieces = 30 * time.Millisecond
	pieces        = 20
	// silence is how long one runner sends nothing, every silenceEvery from silenceFrom on.
	silence      = 1600 * time.Millisecond
	silenceFrom  = 3 * time.Second
	silenceEvery = 5 * time.Second
	silentCase   = 20 * time.Second
	// workedOn is how long the runner before may still work on a request that goes on at another one.
	workedOn = 400 * time.Millisecond
)

// run is the work of one runner on a request.
type run struct {
	runner       string
	began, ended time.Time
}

// silent: a sound runner sends nothing for a second or so and goes on. Its requests must not be worked on at another runner as well.
func silent(w *world, trouble bool) (bool, error) {
	var mu sync.Mutex
	runs := make(map[string][]*run)
	var began atomic.Pointer[time.Time]
	// awaitSound waits until the runner sends again.
	awaitSound := func(runner string) {
		start := began.Load()
		if !trouble || runner != "i-model-0" || start == nil {
			return
		}
		if at := time.Since(*start) - silenceFrom; at >= 0 && at%silenceEvery < silence {
			time.Sleep(silence - at%silenceEvery)
		}
	}
	respond := func(id string) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			request := r.Header.Get(names["attempt"])
			var first int
			_, _ = fmt.Sscan(r.Header.Get(names["last"]), &first)
			mine := &run{runner: id, began: time.Now()}
			mu.Lock()
			runs[request] = append(runs[request], mine)
			mu.Unlock()
			w.logf("request %s runs at %s, after event %d", request, id, first)
			ended := make(chan struct{})
			defer close(ended)
			go func() {
				// The caller's leaving ends the work at once, also within a silence.
				select {
				case <-r.Context().Done():
				case <-ended:
				}
				mu.Lock()
				mine.ended = time.Now()
				mu.Unlock()
				w.logf("request %s: work at %s ends", request, id)
			}()
			rw.Header().Set("Content-Type", "text/event-stream")
			time.Sleep(firstPiece)
			for i := first + 1; i <= pieces; i++ {
				awaitSound(id)
				fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", i, i)
				if http.NewResponseController(rw).Flush() != nil {
					return
				}
				time.Sleep(betweenPieces)
			}
		}
	}
	for i := range 4 {
		id := fmt.Sprintf("i-model-%d", i)
		if _, err := w.addRunner(id, "models", zones[i%3], 64, []string{"m1"}, respond(id)); err != nil {
			return false, err
		}
	}
	for i, zone := range zones {
		if _, err := w.addVM(fmt.Sprintf("front-%d", i+1), zone); err != nil {
			return false, err
		}
	}
	for _, v := range w.vms {
		if !v.awaitReady(15 * time.Second) {
			return false, errors.New(v.name + " isn't ready")
		}
	}
	now := time.Now()
	began.Store(&now)
	since := func() time.Duration { return time.Since(now) }
	var clients sync.WaitGroup
	for _, v := range w.vms {
		for range 10 {
			clients.Go(func() {
				client(w, v, silentCase, since, func() request {
					r := newRequest("/chat/1/", "{}", 12*time.Second)
					r.header[names["model"]] = "m1"
					r.header[names["usage"]] = "600,50"
					r.header[names["prefix"]] = fmt.Sprintf("aa:100,%s:500", r.id)
					return r
				}, func(request, answer) {})
			})
		}
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, of := range runs {
		for i := 1; i < len(of); i++ {
			before, after := of[i-1], of[i]
			both := before.ended.Sub(after.began)
			if !after.ended.IsZero() {
				// The later work may have been ended first.
				both = min(both, after.ended.Sub(after.began))
			}
			if both > workedOn {
				twice++
				w.logf("request %s: %s and %s both worked on it for %d ms", id, before.runner, after.runner, both.Milliseconds())
			}
		}
	}
	w.logf("requests: %d, worked on at two runners for over %v: %d", len(runs), workedOn, twice)
	return twice > 0, nil
}
