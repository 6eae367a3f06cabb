package demo_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/demo"
	"github.com/cowsliparch/cowsliparch/internal/deployment"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakeengine"
)

var restartCount = flag.Int("restarts", 20, "number of entry VM restarts under load")

// balancer selects among the entry VMs that last reported ready, like the platform's load balancer.
type balancer struct {
	mu    sync.Mutex
	ready []string
	next  int
}

func (b *balancer) set(ready []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// pollReadiness polls the readiness of every VM until ctx ends.
func (b *balancer) pollReadiness(ctx context.Context, addresses func() []string) {
	for ctx.Err() == nil {
		var ready []string
		for _, address := range addresses() {
			response, err := http.Get("http://" + address + "/readyz")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready = append(ready, address)
			}
		}
		b.set(ready)
		time.Sleep(5 * time.Millisecond)
	}
}

// Replacing entry VMs under load must not cut off any answer: a stopping VM reports not ready and finishes its calls.
func TestRestartsUnderLoadCutNoAnswers(t *testing.T) {
	cluster := newCluster(t, deployment.Peplos(), 3)
	var mu sync.Mutex
	members := cluster.Entries[:3]
	addresses := func() []string {
		mu.Lock()
		defer mu.Unlock()
		var out []string
		for _, member := range members {
			out = append(out, member.Entry.CallerAddress())
		}
		return out
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	b := &balancer{}
	go b.pollReadiness(ctx, addresses)
	require.Eventually(t, func() bool { return b.pick() != "" }, testTimeout, 5*time.Millisecond)
	var answered, incomplete atomic.Int64
	model := cluster.Deployment.Configuration.Models[0].Name
	for caller := range 16 {
		callers.Go(func() { callRepeatedly(ctx, t, b, model, caller, &answered, &incomplete) })
	}
	for i := range *restartCount {
		member := cluster.Entries[i%3]
		require.NoError(t, member.Stop())
		replacement, err := cluster.StartEntry(fmt.Sprintf("entry-%d", i), member.VM.FailureDomain)
		require.NoError(t, err)
		cluster.VMList.Remove(member.VM.Name)
		mu.Lock()
		members = append([]*demo.Member(nil), members...)
		members[i%3] = replacement
		cluster.Entries[i%3] = replacement
		mu.Unlock()
		require.Eventually(t, func() bool { return replacement.Entry.CanRoute(model) }, testTimeout, 5*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	callers.Wait()
	t.Logf("%d restarts, %d complete answers, %d incomplete", *restartCount, answered.Load(), incomplete.Load())
	require.Zero(t, incomplete.Load())
	require.Greater(t, answered.Load(), int64(*restartCount))
}

// callRepeatedly makes one call after another until ctx ends; an answer that isn't complete and correct counts as
// incomplete.
func callRepeatedly(ctx context.Context, t *testing.T, b *balancer, model string, caller int, answered, incomplete *atomic.Int64) {
	for i := 0; ctx.Err() == nil; i++ {
		address := b.pick()
		if address == "" {
			continue
		}
		prompt := fmt.Sprintf("restart %d %d", caller, i)
		response := postCompletion(context.Background(), t, address, model, prompt, 6)
		text, complete, code := readAnswer(response.Body)
		response.Body.Close()
		if !complete || text != fakeengine.Text(model+"\n"+prompt, 6) {
			incomplete.Add(1)
			t.Logf("status %d, code %q, %d bytes of text", response.StatusCode, code, len(text))
			continue
		}
		answered.Add(1)
	}
}
