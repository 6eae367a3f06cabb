package demo_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/demo"
	"github.com/cowsliparch/cowsliparch/internal/deployment"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakeengine"
)

// postCompletion sends a streaming call to an entry VM and returns the response.
func postCompletion(ctx context.Context, t *testing.T, address, model, prompt string, tokens int) *http.Response {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, prompt)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	return response
}

// readAnswer returns the text of a streamed answer, whether it ended with the [DONE] marker, and the code of a final error.
func readAnswer(body io.Reader) (text string, complete bool, code string) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true, ""
		}
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
			Error struct{ Code string }
		}
		if json.Unmarshal([]byte(data), &event) != nil {
			return text, false, "Malformed"
		}
		if event.Error.Code != "" {
			return text, false, event.Error.Code
		}
		text += event.Choices[0].Delta.Content
	}
	return text, false, ""
}

func setFaults(engines []*fakeengine.Engine, faults fakeengine.Faults) {
	for _, engine := range engines {
		engine.SetFaults(faults)
	}
}

func cancelledAnswers(cluster *demo.Cluster) int64 {
	var sum int64
	for _, engine := range cluster.Engines {
		sum += engine.Cancelled()
	}
	return sum
}

// When a caller disconnects during a streamed answer, the engine must stop generating.
func TestCallerDisconnectCancelsGeneration(t *testing.T) {
	cluster := newCluster(t, deployment.Peplos(), 3)
	ctx, cancel := context.WithCancel(t.Context())
	response := postCompletion(ctx, t, cluster.CallerAddresses()[0], cluster.Deployment.Configuration.Models[0].Name, "leaving", 10000)
	defer response.Body.Close()
	_, err := bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	cancel()
	require.Eventually(t, func() bool { return cancelledAnswers(cluster) == 1 }, testTimeout, 10*time.Millisecond)
}

// When an engine aborts a streamed answer, another engine must continue it without a gap; if every engine aborts, the caller
// must get an error and never the marker of a complete answer.
func TestEngineFailsDuringAnswer(t *testing.T) {
	cluster := newCluster(t, deployment.Peplos(), 3)
	model := cluster.Deployment.Configuration.Models[0].Name
	for _, member := range cluster.Entries {
		require.Eventually(t, func() bool { return member.Entry.ServedByOtherDomain(model) }, testTimeout, 10*time.Millisecond)
	}
	t.Run("IsResumedElsewhere", func(t *testing.T) {
		setFaults(cluster.Engines[:1], fakeengine.Faults{AbortAfterTokens: 3})
		for i := range 20 {
			prompt := fmt.Sprintf("resumed %d", i)
			response := postCompletion(t.Context(), t, cluster.CallerAddresses()[i%9], model, prompt, 12)
			text, complete, code := readAnswer(response.Body)
			response.Body.Close()
			require.True(t, complete, code)
			require.Equal(t, fakeengine.Text(model+"\n"+prompt, 12), text)
		}
	})
	t.Run("NeverLooksWhole", func(t *testing.T) {
		setFaults(cluster.Engines, fakeengine.Faults{AbortAfterTokens: 3})
		response := postCompletion(t.Context(), t, cluster.CallerAddresses()[0], model, "broken", 100)
		defer response.Body.Close()
		text, complete, code := readAnswer(response.Body)
		require.False(t, complete)
		require.Equal(t, "AnswerBroken", code)
		require.True(t, strings.HasPrefix(fakeengine.Text(model+"\nbroken", 100), text))
	})
}

// An answer that carries the request ID of another call must not reach the caller.
func TestAnswersWithWrongRequestIDAreRejected(t *testing.T) {
	cluster := newCluster(t, deployment.Peplos(), 3)
	model := cluster.Deployment.Configuration.Models[0].Name
	setFaults(cluster.Engines, fakeengine.Faults{WrongRequestID: true})
	response := postCompletion(t.Context(), t, cluster.CallerAddresses()[0], model, "mine", 5)
	defer response.Body.Close()
	require.NotEqual(t, http.StatusOK, response.StatusCode)
}

// Each of 1000 concurrent callers must get only tokens of its own answer, although three engines abort answers, which other
// engines resume.
func TestConcurrentAnswersAreNotMixedUp(t *testing.T) {
	cluster := newCluster(t, deployment.Peplos(), 3)
	setFaults(cluster.Engines[:3], fakeengine.Faults{AbortAfterTokens: 4})
	models := cluster.Deployment.Configuration.Models
	type result struct {
		got, want, code string
		status          int
	}
	results := make(chan result)
	for i := range 1000 {
		go func() {
			model := models[i%len(models)].Name
			prompt := fmt.Sprintf("tag %d", i)
			response := postCompletion(t.Context(), t, cluster.CallerAddresses()[i%9], model, prompt, 8)
			defer response.Body.Close()
			text, complete, code := readAnswer(response.Body)
			r := result{
				got:    text,
				want:   fakeengine.Text(model+"\n"+prompt, 8),
				status: response.StatusCode,
				code:   code,
			}
			if !complete {
				// The part received before the failure must still belong to this answer.
				r.want = r.want[:min(len(text), len(r.want))]
			}
			results <- r
		}()
	}
	answered := 0
	for range 1000 {
		r := <-results
		require.Equal(t, r.want, r.got)
		if r.status == http.StatusOK && r.code == "" {
			answered++
		}
	}
	require.Greater(t, answered, 500)
}
