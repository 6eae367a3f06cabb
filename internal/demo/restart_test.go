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

var restarts = flag.Int("restarts", 20, "how often an entry VM is restarted under load")

// balancer sends callers to the VMs that last said they were ready, as the platform's would.
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

// watch asks every VM for readiness again and again.
func (b *balancer) watch(ctx context.Context, members func() []string) {
	for ctx.Err() == nil {
		var ready []string
		for _, address := range members() {
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

func TestRestartsUnderLoadCutNothing(t *testing.T) {
	world := newWorld(t, deployment.Peplos(), 3)
	var mu sync.Mutex
	members := world.Entries[:3]
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
	go b.watch(ctx, addresses)
	require.Eventually(t, func() bool { return b.pick() != "" }, patience, 5*time.Millisecond)
	var answered, cut atomic.Int64
	model := world.Deployment.Configuration.Models[0].Name
	for caller := range 16 {
		callers.Go(func() { callOn(ctx, t, b, model, caller, &answered, &cut) })
	}
	for i := range *restarts {
		member := world.Entries[i%3]
		require.NoError(t, member.Stop())
		replaced, err := world.StartEntry(fmt.Sprintf("entry-%d", i), member.VM.FailureDomain)
		require.NoError(t, err)
		world.List.Remove(member.VM.Name)
		mu.Lock()
		members = append([]*demo.Member(nil), members...)
		members[i%3] = replaced
		world.Entries[i%3] = replaced
		mu.Unlock()
		require.Eventually(t, func() bool { return replaced.Entry.Reaches(model) }, patience, 5*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	callers.Wait()
	t.Logf("%d restarts, %d answers, %d cut", *restarts, answered.Load(), cut.Load())
	require.Zero(t, cut.Load())
	require.Greater(t, answered.Load(), int64(*restarts))
}

// callOn makes one call after the other until ctx ends; a call that isn't answered whole counts as cut.
func callOn(ctx context.Context, t *testing.T, b *balancer, model string, caller int, answered, cut *atomic.Int64) {
	for i := 0; ctx.Err() == nil; i++ {
		address := b.pick()
		if address == "" {
			continue
		}
		prompt := fmt.Sprintf("restart %d %d", caller, i)
		response := ask(context.Background(), t, address, model, prompt, 6)
		text, whole, code := readAnswer(response.Body)
		response.Body.Close()
		if !whole || text != fakeengine.Text(model+"\n"+prompt, 6) {
			cut.Add(1)
			t.Logf("status %d, code %q, %d bytes of text", response.StatusCode, code, len(text))
			continue
		}
		answered.Add(1)
	}
}
