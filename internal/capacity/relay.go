package capacity

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"github.com/cowsliparch/cowsliparch/internal/demo"
	"github.com/cowsliparch/cowsliparch/internal/deployment"
)

const (
	relayTokens = 200
	// relaySpread is over how long the streams of a burst begin; all are open together after it.
	relaySpread = 400 * time.Millisecond
	relaySample = 500 * time.Millisecond
	relayRounds = 3
)

// RelayCost is what an entry VM adds to streams that are open at once.
type RelayCost struct {
	Streams int
	// AddedP50 and AddedP99 are of the time to the first token.
	AddedP50 time.Duration
	AddedP99 time.Duration
	// MicrosPerToken is processor time.
	MicrosPerToken   float64
	KilobytesAStream float64
}

// Relay sets calls through an entry VM against calls straight to an engine, all in this process, so that the difference
// is the entry's own cost.
func Relay(clock clockwork.Clock, streams int) (RelayCost, error) {
	world, err := relayWorld()
	if err != nil {
		return RelayCost{}, err
	}
	defer world.Close()
	vms, err := world.List.VMs(context.Background())
	if err != nil {
		return RelayCost{}, err
	}
	l := &relayLoad{
		clock:   clock,
		model:   world.Deployment.Configuration.Models[0].Name,
		streams: streams,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: streams,
			},
		},
	}
	var direct, relayed round
	l.burst(vms[0].Address)
	l.burst(world.CallerAddresses()[0])
	for range relayRounds {
		direct.add(l.burst(vms[0].Address))
		relayed.add(l.burst(world.CallerAddresses()[0]))
	}
	return RelayCost{
		Streams:          streams,
		AddedP50:         relayed.quantile(0.5) - direct.quantile(0.5),
		AddedP99:         relayed.quantile(0.99) - direct.quantile(0.99),
		MicrosPerToken:   micros(relayed.cpu-direct.cpu) / float64(streams*relayTokens*relayRounds),
		KilobytesAStream: (relayed.memory - direct.memory) / 1024 / float64(streams*relayRounds),
	}, l.err
}

// Error is the class of failures to measure.
var Error = errs.Class("capacity")

// relayWorld is one entry VM before three engines that never make a call wait.
func relayWorld() (*demo.World, error) {
	d := deployment.Peplos()
	d.EntriesPerDomain = 1
	d.Engine.Slots = 5000
	d.Engine.PrefillPerSecond = 1e9
	c := &d.Configuration
	c.FailureDomains = c.FailureDomains[:1]
	for i := range c.Services {
		c.Services[i].Presence = c.Services[i].Presence[:1]
	}
	c.Presets = c.Presets[2:]
	for i := range c.Objectives {
		c.Objectives[i].FirstToken.Duration = time.Minute
	}
	world, err := demo.New(demo.Options{
		Deployment: d,
		Seed:       1,
		Logger:     slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	world.Preload(1)
	return world, Error.Wrap(world.Start())
}

// relayLoad opens streams.
type relayLoad struct {
	clock   clockwork.Clock
	client  *http.Client
	model   string
	streams int

	mu  sync.Mutex
	err error
}

// round is what one burst of concurrent streams cost.
type round struct {
	first  []time.Duration
	cpu    time.Duration
	memory float64
}

func (r *round) add(other round) {
	r.first = append(r.first, other.first...)
	r.cpu += other.cpu
	r.memory += other.memory
}

func (r *round) quantile(q float64) time.Duration {
	slices.Sort(r.first)
	return r.first[min(int(q*float64(len(r.first))), len(r.first)-1)]
}

// burst opens the streams one after the other and reads them to their end.
func (l *relayLoad) burst(address string) round {
	var r round
	var calls sync.WaitGroup
	before := cpuTime()
	for i := range l.streams {
		calls.Go(func() {
			l.clock.Sleep(relaySpread * time.Duration(i) / time.Duration(l.streams))
			first, err := l.stream(address, i)
			l.mu.Lock()
			defer l.mu.Unlock()
			r.first = append(r.first, first)
			if err != nil {
				l.err = err
			}
		})
	}
	l.clock.Sleep(relaySample)
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	r.memory = float64(stats.HeapAlloc + stats.StackInuse)
	calls.Wait()
	r.cpu = cpuTime() - before
	return r
}

// CutError reports a stream that did not come to its end.
type CutError struct {
	Status int
}

// Error implements error.
func (e *CutError) Error() string { return fmt.Sprintf("a stream was cut, HTTP status %d", e.Status) }

func (l *relayLoad) stream(address string, i int) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%d"}]}`, l.model, relayTokens, i)
	began := l.clock.Now()
	response, err := l.client.Post("http://"+address+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer response.Body.Close()
	var first time.Duration
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if first == 0 {
			first = l.clock.Since(began)
		}
		if scanner.Text() == "data: [DONE]" {
			return first, nil
		}
	}
	return first, &CutError{Status: response.StatusCode}
}
