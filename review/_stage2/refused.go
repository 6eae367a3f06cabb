package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// greyAfter and greyTime say when one of the three runners fails, greyShare how many of its requests.
	greyAfter = 4 * time.Second
	greyTime  = 6 * time.Second
	greyEvery = 3
	// chargeCallers is how many callers charge deposits, each every chargeInterval.
	chargeCallers  = 12
	chargeInterval = 300 * time.Millisecond
)

// charges keeps how often each deposit was charged, by the order's number, and by which attempts.
type charges struct {
	mu       sync.Mutex
	ran      map[string]bool
	perOrder map[string]int
}

func (c *charges) run(attempt, order string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[attempt] = true
	c.perOrder[order]++
}

// playRefused has one of three runners fail a part of the requests after it has run them, with 503 and without the statement that they have
// not run. Callers take 503 for the promise that it is, and send the order again.
func playRefused(s *stage, trouble bool) (bool, error) {
	done := &charges{ran: make(map[string]bool), perOrder: make(map[string]int)}
	var grey atomic.Bool
	var greySeen atomic.Int64
	for i := range 3 {
		isGrey := i == 0
		err := s.startRunner(&runner{
			ID:      fmt.Sprintf("i-%d", i+1),
			Domain:  domains[i],
			Service: "desk",
			Slots:   6,
			Models:  "[]",
			serve: func(r *runner, c net.Conn, request *http.Request, body []byte) bool {
				attempt := request.Header.Get(names["attempt"])
				fails := isGrey && grey.Load() && greySeen.Add(1)%greyEvery == 0
				time.Sleep(60 * time.Millisecond)
				done.run(attempt, string(body))
				if fails {
					s.note("%s has run %s (%s) and answers 503 without saying that it has not", r.ID, attempt, body)
					return writeAnswer(c, http.StatusServiceUnavailable, r.answerHeader(request), "failed")
				}
				return writeAnswer(c, http.StatusOK, r.answerHeader(request), "charged")
			},
		})
		if err != nil {
			return false, err
		}
	}
	if err := s.startVMs(3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var results counts
	var refusedAndRun atomic.Int64
	for i := range chargeCallers {
		callers.Go(func() { chargeCaller(s, i, stop, done, &results, &refusedAndRun) })
	}
	time.Sleep(greyAfter)
	if trouble {
		s.note("i-1 fails every third request from now on, for %v", greyTime)
		grey.Store(true)
	}
	time.Sleep(greyTime)
	grey.Store(false)
	time.Sleep(2 * time.Second)
	close(stop)
	callers.Wait()
	time.Sleep(500 * time.Millisecond)
	twice := 0
	done.mu.Lock()
	for _, times := range done.perOrder {
		if times > 1 {
			twice++
		}
	}
	done.mu.Unlock()
	s.note("attempts: %s", results.String())
	s.note("attempts that got 503 and have run: %d; orders charged twice since their callers relied on that: %d", refusedAndRun.Load(), twice)
	return refusedAndRun.Load() > 0, nil
}

// chargeCaller charges deposits one after the other; an order that was refused as not run is sent once more.
func chargeCaller(s *stage, number int, stop <-chan struct{}, done *charges, results *counts, refusedAndRun *atomic.Int64) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(chargeInterval):
		}
		order := fmt.Sprintf("order-%d-%d", number, n)
		for try := range 2 {
			attempt := fmt.Sprintf("%s-try-%d", strings.TrimPrefix(order, "order-"), try)
			v := s.vms[(number+n+try)%len(s.vms)]
			a := ask(v.Caller, http.MethodPost, "/charge/2f", attempt, "", order, 3*time.Second)
			results.add(a)
			if a.err != nil || a.status != http.StatusServiceUnavailable {
				break
			}
			done.mu.Lock()
			hasRun := done.ran[attempt]
			done.mu.Unlock()
			if hasRun {
				refusedAndRun.Add(1)
				s.note("%s answered %s (%s) with 503, signature %q, though it has run", v.Name, attempt, order, a.signature)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
