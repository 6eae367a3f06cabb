package main

import (
	_ "embed"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

//go:embed odd.json
var oddFormat string

const (
	// oddAt is when another writer writes its entry.
	oddAt   = 2 * time.Second
	oddCase = 8 * time.Second
)

// odd: an entry of another writer, which lacks fields, lies under the key of a runner of the service "stock" and names the service
// "desk". It names no runner to use, so no request to the desk may run at that runner.
func odd(w *world, trouble bool) (bool, error) {
	var misrouted, foreign atomic.Int64
	respond := func(id, service string) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			request := r.Header.Get(names["attempt"])
			w.logf("request %s for %s runs at %s of %s", request, r.URL.Path, id, service)
			if !strings.HasPrefix(r.URL.Path, "/"+service+"/") {
				misrouted.Add(1)
			}
			time.Sleep(30 * time.Millisecond)
			_, _ = rw.Write([]byte("answer of " + service))
		}
	}
	var stock *runner
	for _, service := range []string{"desk", "stock"} {
		for i, zone := range zones {
			id := fmt.Sprintf("i-%s-%d", service, i)
			r, err := w.addRunner(id, service, zone, 12, nil, respond(id, service))
			if err != nil {
				return false, err
			}
			if service == "stock" && i == 0 {
				stock = r
			}
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
	began := time.Now()
	since := func() time.Duration { return time.Since(began) }
	var clients sync.WaitGroup
	for _, v := range w.vms {
		for _, service := range []string{"desk", "stock"} {
			for range 2 {
				clients.Go(func() {
					client(w, v, oddCase, since, func() request { return newRequest("/"+service+"/1/", "{}", 3*time.Second) }, func(r request, a answer) {
						if a.status == http.StatusOK && a.body != "answer of "+service {
							foreign.Add(1)
							w.logf("request %s for %s got %q", r.id, r.path, a.body)
						}
					})
				})
			}
		}
	}
	time.Sleep(oddAt)
	if trouble {
		entry := fmt.Appendf(nil, strings.TrimSpace(oddFormat), stock.address, stock.born)
		w.store.Put(names["runners"], stock.id, entry)
		w.logf("another writer has written under the key of %s: %s", stock.id, entry)
	}
	clients.Wait()
	w.logf("requests run by the wrong service: %d, clients that got its answer as a success: %d", misrouted.Load(), foreign.Load())
	return misrouted.Load() > 0, nil
}
