package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryMB is the memory of a process on the sheet.
	memoryMB = 284
	// runnersFaulty of the modelRunners spoil each one of faultyEvery answers from faultyFrom on, for faultyFor.
	modelRunners  = 5
	runnersFaulty = 2
	faultyEvery   = 20
	faultyFrom    = 4 * time.Second
	faultyFor     = 6800 * time.Millisecond
	// chatters and bookers are the clients of each process.
	chatters = 6
	bookers  = 6
	// endlessCase is how long clients send requests.
	endlessCase = 24 * time.Second
	// toleratedCuts is how many requests the rule allows to end so.
	toleratedCuts = 3
)

// endless: some answers of some runners go on without end, with bytes that are no event. What a process holds of them must stay
// within its memory.
func endless(w *world, trouble bool) (bool, error) {
	var answers, spoiled, cut atomic.Int64
	began := time.Now().Add(time.Hour)
	var beganMu sync.Mutex
	since := func() time.Duration {
		beganMu.Lock()
		defer beganMu.Unlock()
		return time.Since(began)
	}
	sound := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 10; i++ {
			fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", i, i)
			if http.NewResponseController(rw).Flush() != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
	filler := []byte(": " + strings.Repeat("x", 64<<10) + "\n\n")
	faulty := func(rw http.ResponseWriter, r *http.Request) {
		if at := since(); !trouble || at < faultyFrom || at > faultyFrom+faultyFor || answers.Add(1)%faultyEvery != 0 {
			sound(rw, r)
			return
		}
		spoiled.Add(1)
		id := r.Header.Get(names["attempt"])
		w.logf("request %s: the runner answers without end", id)
		rw.Header().Set("Content-Type", "text/event-stream")
		sent := 0
		for {
			n, err := rw.Write(filler)
			sent += n
			if err != nil {
				w.logf("request %s: the caller has closed after %d MB", id, sent>>20)
				return
			}
		}
	}
	for i := range modelRunners {
		handler := sound
		if i < runnersFaulty {
			handler = faulty
		}
		if _, err := w.addRunner(fmt.Sprintf("i-model-%d", i), "models", zones[i%3], 64, []string{"m1"}, handler); err != nil {
			return false, err
		}
	}
	var running sync.Map
	desk := func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(names["attempt"])
		running.Store(id, true)
		w.logf("request %s runs at the desk", id)
		time.Sleep(150 * time.Millisecond)
		_, _ = rw.Write([]byte("booked"))
	}
	for i := range 3 {
		if _, err := w.addRunner(fmt.Sprintf("i-desk-%d", i), "desk", zones[i], 12, nil, desk); err != nil {
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
		go w.limitMemory(v, memoryMB)
	}
	beganMu.Lock()
	began = time.Now()
	beganMu.Unlock()
	var clients sync.WaitGroup
	for _, v := range w.vms {
		for range chatters {
			clients.Go(func() {
				client(w, v, endlessCase, since, func() request {
					r := newRequest("/chat/1/", "{}", 12*time.Second)
					r.header[names["model"]] = "m1"
					r.header[names["usage"]] = "600,50"
					r.header[names["prefix"]] = fmt.Sprintf("aa:100,%s:500", r.id)
					return r
				}, func(request, answer) {})
			})
		}
		for range bookers {
			clients.Go(func() {
				client(w, v, endlessCase, since, func() request { return newRequest("/desk/1/", "{}", 3*time.Second) }, func(r request, a answer) {
					_, ran := running.Load(r.id)
					if a.err != nil && !a.head && ran {
						cut.Add(1)
						w.logf("request %s at %s has run at a sound runner, and its connection ends without an answer: %v", r.id, v.name, a.err)
					}
				})
			})
		}
	}
	clients.Wait()
	ended := 0
	for _, v := range w.vms {
		if v.killed.Load() {
			ended++
		}
		w.logf("process %s: at most %d MB", v.name, v.peakKB.Load()>>10)
	}
	w.logf("spoiled answers: %d, processes ended by their memory: %d, requests cut off: %d", spoiled.Load(), ended, cut.Load())
	if trouble && spoiled.Load() == 0 {
		return false, errors.New("no answer was spoiled")
	}
	return ended > 0 && cut.Load() > toleratedCuts, nil
}

// client sends requests on a kept connection, one after the other.
func client(w *world, v *vm, until time.Duration, since func() time.Duration, next func() request, ended func(request, answer)) {
	var c *connection
	for since() < until {
		if c == nil {
			var err error
			if c, err = connect(v.front); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		r := next()
		a := c.do(r)
		w.logf("request %s to %s: status %d, error %v", r.id, v.name, a.status, a.err)
		ended(r, a)
		if a.err != nil || a.header.Get("Connection") == "close" {
			_ = c.socket.Close()
			c = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}
