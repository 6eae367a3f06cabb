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
	// relayRampUp is the time over which the streams of a burst are opened; all are open at the end of it.
	relayRampUp = 400 * time.Millisecond
	// relaySampleDelay is when memory is sampled after the start of a burst, while all streams are open.
	relaySampleDelay = 500 * time.Millisecond
	relayRounds      = 3
)

// RelayCost is the cost that an entry VM adds to concurrent streams.
type RelayCost struct {
	Streams int
	// AddedP50 and AddedP99 are the increases of the median and the 99th percentile of the time to the first token.
	AddedP50 time.Duration
	AddedP99 time.Duration
	// MicrosPerToken is CPU time.
	MicrosPerToken     float64
	KilobytesPerStream float64
}

// Relay compares calls through an entry VM with calls directly to an engine. All of them run in this process, so that the
// difference is the cost of the entry VM.
func Relay(clock clockwork.Clock, streams int) (RelayCost, error) {
	cluster, err := startRelayCluster()
	if err != nil {
		return RelayCost{}, err
	}
	defer cluster.Close()
	vms, err := cluster.VMList.VMs(context.Background())
	if err != nil {
		return RelayCost{}, err
	}
	c := &relayClient{
		clock:   clock,
		model:   cluster.Deployment.Configuration.Models[0].Name,
		streams: streams,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: streams,
			},
		},
	}
	var direct, relayed burst
	c.runBurst(vms[0].Address)
	c.runBurst(cluster.CallerAddresses()[0])
	for range relayRounds {
		direct.add(c.runBurst(vms[0].Address))
		relayed.add(c.runBurst(cluster.CallerAddresses()[0]))
	}
	return RelayCost{
		Streams:            streams,
		AddedP50:           relayed.quantile(0.5) - direct.quantile(0.5),
		AddedP99:           relayed.quantile(0.99) - direct.quantile(0.99),
		MicrosPerToken:     micros(relayed.cpu-direct.cpu) / float64(streams*relayTokens*relayRounds),
		KilobytesPerStream: (relayed.memory - direct.memory) / 1024 / float64(streams*relayRounds),
	}, c.err
}

// Error is the error class of failed measurements.
var Error = errs.Class("capacity")

// startRelayCluster starts a demo cluster of one entry VM and three engines that are fast enough never to queue a call.
func startRelayCluster() (*demo.Cluster, error) {
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
	cluster, err := demo.New(demo.Options{
		Deployment: d,
		Seed:       1,
		Logger:     slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	cluster.Preload(1)
	return cluster, Error.Wrap(cluster.Start())
}

// relayClient opens streams of one model and reads them to their end.
type relayClient struct {
	clock   clockwork.Clock
	client  *http.Client
	model   string
	streams int

	mu  sync.Mutex
	err error
}

// burst is the cost of one burst of concurrent streams.
type burst struct {
	firstTokenTimes []time.Duration
	cpu             time.Duration
	memory          float64
}

func (b *burst) add(other burst) {
	b.firstTokenTimes = append(b.firstTokenTimes, other.firstTokenTimes...)
	b.cpu += other.cpu
	b.memory += other.memory
}

func (b *burst) quantile(q float64) time.Duration {
	slices.Sort(b.firstTokenTimes)
	return b.firstTokenTimes[min(int(q*float64(len(b.firstTokenTimes))), len(b.firstTokenTimes)-1)]
}

// runBurst opens all streams over relayRampUp and reads them to their end.
func (c *relayClient) runBurst(address string) burst {
	var result burst
	var calls sync.WaitGroup
	cpuBefore := cpuTime()
	for i := range c.streams {
		calls.Go(func() {
			c.clock.Sleep(relayRampUp * time.Duration(i) / time.Duration(c.streams))
			first, err := c.stream(address, i)
			c.mu.Lock()
			defer c.mu.Unlock()
			result.firstTokenTimes = append(result.firstTokenTimes, first)
			if err != nil {
				c.err = err
			}
		})
	}
	c.clock.Sleep(relaySampleDelay)
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	result.memory = float64(stats.HeapAlloc + stats.StackInuse)
	calls.Wait()
	result.cpu = cpuTime() - cpuBefore
	return result
}

// IncompleteStreamError reports a stream that ended before its last event.
type IncompleteStreamError struct {
	Status int
}

// Error implements error.
func (e *IncompleteStreamError) Error() string {
	return fmt.Sprintf("incomplete stream (HTTP status %d)", e.Status)
}

func (c *relayClient) stream(address string, i int) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%d"}]}`, c.model, relayTokens, i)
	start := c.clock.Now()
	response, err := c.client.Post("http://"+address+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer response.Body.Close()
	var firstTokenTime time.Duration
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if firstTokenTime == 0 {
			firstTokenTime = c.clock.Since(start)
		}
		if scanner.Text() == "data: [DONE]" {
			return firstTokenTime, nil
		}
	}
	return firstTokenTime, &IncompleteStreamError{Status: response.StatusCode}
}
