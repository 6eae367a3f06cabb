package demo_test

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/deployment"
)

const (
	relayTokens = 200
	// relaySpread is over how long the streams of a burst begin; all are open together after it.
	relaySpread = 400 * time.Millisecond
)

// round is what one burst of concurrent streams cost.
type round struct {
	first  []time.Duration
	cpu    time.Duration
	memory uint64
	tokens int
}

// BenchmarkRelay sets calls through an entry VM against calls straight to an engine, both in this process, so that the
// difference is the entry's own cost.
func BenchmarkRelay(b *testing.B) {
	for _, streams := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) { benchmarkRelay(b, streams) })
	}
}

func benchmarkRelay(b *testing.B, streams int) {
	d := deployment.Peplos()
	d.EntriesPerDomain = 1
	c := &d.Configuration
	c.FailureDomains = c.FailureDomains[:1]
	for i := range c.Services {
		c.Services[i].Presence = c.Services[i].Presence[:1]
	}
	c.Presets = c.Presets[2:]
	d.Engine.Slots = 2000
	d.Engine.PrefillPerSecond = 1e9
	// A bound that every call meets, so that none is refused.
	for i := range d.Configuration.Objectives {
		d.Configuration.Objectives[i].FirstToken.Duration = time.Minute
	}
	world := newWorld(b, d, 1)
	vms, err := world.List.VMs(b.Context())
	require.NoError(b, err)
	engine := vms[0].Address
	model := d.Configuration.Models[0].Name
	entry := world.CallerAddresses()[0]
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: streams,
		},
	}
	var direct, relayed round
	burst(b, client, engine, model, streams)
	burst(b, client, entry, model, streams)
	b.ResetTimer()
	rounds := 0
	for b.Loop() {
		direct.add(burst(b, client, engine, model, streams))
		relayed.add(burst(b, client, entry, model, streams))
		rounds++
	}
	b.ReportMetric(millis(relayed.quantile(0.5)-direct.quantile(0.5)), "added-p50-ms")
	b.ReportMetric(millis(relayed.quantile(0.99)-direct.quantile(0.99)), "added-p99-ms")
	b.ReportMetric(float64((relayed.cpu-direct.cpu).Microseconds())/float64(relayed.tokens), "cpu-us/token")
	b.ReportMetric((float64(relayed.memory)-float64(direct.memory))/1024/float64(streams*rounds), "KB/stream")
}

func (r *round) add(other round) {
	r.first = append(r.first, other.first...)
	r.cpu += other.cpu
	r.memory += other.memory
	r.tokens += other.tokens
}

func (r *round) quantile(q float64) time.Duration {
	slices.Sort(r.first)
	return r.first[min(int(q*float64(len(r.first))), len(r.first)-1)]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// burst opens so many streams one after the other and reads them to their end.
func burst(b *testing.B, client *http.Client, address, model string, streams int) round {
	r := round{
		tokens: streams * relayTokens,
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	before := cpuTime()
	for i := range streams {
		calls.Go(func() {
			time.Sleep(relaySpread * time.Duration(i) / time.Duration(streams))
			first := stream(b, client, address, model, fmt.Sprint(i))
			mu.Lock()
			defer mu.Unlock()
			r.first = append(r.first, first)
		})
	}
	time.Sleep(500 * time.Millisecond)
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	r.memory = stats.HeapAlloc + stats.StackInuse
	calls.Wait()
	r.cpu = cpuTime() - before
	return r
}

func stream(b *testing.B, client *http.Client, address, model, prompt string) time.Duration {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, relayTokens, prompt)
	began := time.Now()
	response, err := client.Post("http://"+address+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return 0
	}
	defer response.Body.Close()
	var first time.Duration
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if first == 0 {
			first = time.Since(began)
		}
		if scanner.Text() == "data: [DONE]" {
			return first
		}
	}
	b.Errorf("status %d: the answer was not whole", response.StatusCode)
	return first
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
