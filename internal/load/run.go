package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/pause"
)

// Outcomes that the load generator determines itself; other outcomes are refusal codes of the entry VMs.
const (
	outcomeAnswered    = "Answered"
	outcomeWrongAnswer = "WrongAnswer"
	outcomeCut         = "Cut"
	outcomeUnreached   = "Unreached"
)

const (
	maxIdleConnections = 2048
	progressInterval   = 500 * time.Millisecond
)

// Run sends the planned calls, each at its scheduled time, and returns when the last one has ended.
func Run(ctx context.Context, o Options, clock clockwork.Clock) *Result {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections,
		},
	}
	defer client.CloseIdleConnections()
	result := newResult()
	var completed atomic.Int64
	stop := reportProgress(ctx, o, clock, &completed)
	defer stop()
	var inFlight sync.WaitGroup
	start := clock.Now()
	for i, c := range plan(o) {
		if wait := c.at - clock.Since(start); wait > 0 {
			pause.For(ctx, clock, wait)
		}
		if ctx.Err() != nil {
			break
		}
		s := &sender{
			options: o,
			client:  client,
			clock:   clock,
			address: o.Addresses[i%len(o.Addresses)],
		}
		inFlight.Go(func() {
			defer completed.Add(1)
			s.send(ctx, c, result)
		})
	}
	inFlight.Wait()
	return result
}

// reportProgress calls o.Progress regularly until the returned function is called.
func reportProgress(ctx context.Context, o Options, clock clockwork.Clock, completed *atomic.Int64) func() {
	if o.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-clock.After(progressInterval):
				o.Progress(int(completed.Load()))
			}
		}
	}()
	return cancel
}
