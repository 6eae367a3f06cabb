package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// decidingReach is a Reach that finds out that this VM is cut off when it is awaited.
type decidingReach struct {
	*fakeReach
	awaited int
}

func (r *decidingReach) Await(context.Context) bool {
	if r.awaited++; r.awaited == 1 {
		r.cut()
	}
	return true
}

// Runners that all refuse connections within a millisecond must not have a request refused before the VM can know that it is cut off.
func TestRequestAwaitsDecisionWhetherVMIsCutOff(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t, failNotSent)
			reach, proxies := h.withProxies([]string{"v1"}, proxied(respond(http.StatusOK, firstEvent)))
			deciding := &decidingReach{fakeReach: reach}
			h.dispatcher.Reach = deciding
			h.serve(t, path)
			require.Equal(t, 1, deciding.awaited)
			require.Equal(t, 1, proxies.count())
			require.Equal(t, http.StatusOK, h.caller.status)
			require.Equal(t, firstEvent, h.caller.body)
		})
	}
}

// A VM that gets cut off while it serves another VM's request gives it back, so that it can go on elsewhere.
func TestProxiedRequestIsGivenBackWhenVMIsCutOff(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		reply   func(h *harness) reply
		started bool
	}{
		"before the head": {"/safe/", func(*harness) reply { return hang }, false},
		"in a stream":     {"/stream/", func(h *harness) reply { return h.fallSilent(time.Hour, 1, firstEvent, secondEvent) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.sender.replies = []reply{test.reply(h)}
			reach, proxies := h.withProxies([]string{"v1"}, respond(http.StatusOK, ""))
			r := h.request(test.path)
			r.Proxied = &dispatch.Proxied{Version: 7}
			go func() {
				for h.sender.count() == 0 {
					time.Sleep(pollInterval)
				}
				reach.cut()
			}()
			started := h.clock.Now()
			h.serveAdvancing(t, t.Context(), r, 10*time.Millisecond)
			require.Less(t, h.clock.Since(started), 1400*time.Millisecond)
			require.Zero(t, proxies.count())
			require.Equal(t, 1, h.sender.count())
			require.Equal(t, test.started, h.caller.aborted)
			if !test.started {
				require.Equal(t, refusal.OutOfReach, h.caller.refused.Code)
				require.Equal(t, refusal.Unknown, h.caller.refused.Ran)
			}
		})
	}
}

// A request that a VM gives back because it reaches no runner any more, or stops, goes on elsewhere only if it may run twice.
func TestRequestThatWasGivenBackGoesOnIfRepeatable(t *testing.T) {
	for _, code := range []refusal.Code{refusal.OutOfReach, refusal.Stopping} {
		for path, sent := range map[string]int{"/safe/": 2, "/stream/": 2, "/unsafe/": 1, "/once/": 1} {
			t.Run(string(code)+" "+path, func(t *testing.T) {
				h := newHarness(t, respond(http.StatusOK, "from a runner"))
				reach, proxies := h.withProxies([]string{"v1", "v2"},
					refuse(refusal.New(http.StatusBadGateway, code, "").WithRan(refusal.Unknown)), proxied(respond(http.StatusOK, firstEvent)))
				reach.cut()
				h.serve(t, path)
				require.Equal(t, sent, proxies.count())
				if sent == 2 {
					require.Equal(t, firstEvent, h.caller.body)
					require.Equal(t, 1, proxies.attempts[1].Proxied.Attempts)
					return
				}
				require.Equal(t, http.StatusBadGateway, h.caller.refused.Status)
				require.Equal(t, refusal.Unknown, h.caller.refused.Ran)
			})
		}
	}
}

// Only the VM that a runner answers can judge by the answer whether a prompt crashed it.
func TestAnswersThroughAnotherVMAreNoEvidence(t *testing.T) {
	h, guard := newGuardedHarness(t)
	unmarked := func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
		response, err := proxied(stream(nil, firstEvent))(ctx, r, attempt)
		response.EndUnmarked = true
		return response, err
	}
	reach, _ := h.withProxies([]string{"v1", "v2"}, loseResponse, unmarked)
	reach.cut()
	h.serve(t, "/stream/")
	require.Equal(t, firstEvent, h.caller.body)
	require.Zero(t, guard.ended)
	require.Empty(t, guard.strikes)
	require.Zero(t, guard.begun+guard.sound)
}
