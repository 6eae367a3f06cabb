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

// ask sends a streamed call to an entry VM.
func ask(ctx context.Context, t *testing.T, address, model, prompt string, tokens int) *http.Response {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, prompt)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	return response
}

// readAnswer returns the text of a streamed answer, whether it was marked as whole, and the code of a closing error.
func readAnswer(body io.Reader) (text string, whole bool, code string) {
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

func cancelled(world *demo.World) int64 {
	var sum int64
	for _, engine := range world.Engines {
		sum += engine.Cancelled()
	}
	return sum
}

func TestCallerWhoLeavesCancelsTheEngine(t *testing.T) {
	world := newWorld(t, deployment.Peplos(), 3)
	ctx, cancel := context.WithCancel(t.Context())
	response := ask(ctx, t, world.CallerAddresses()[0], world.Deployment.Configuration.Models[0].Name, "leaving", 10000)
	defer response.Body.Close()
	_, err := bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	cancel()
	require.Eventually(t, func() bool { return cancelled(world) == 1 }, patience, 10*time.Millisecond)
}

func TestEngineThatDiesMidAnswer(t *testing.T) {
	world := newWorld(t, deployment.Peplos(), 3)
	model := world.Deployment.Configuration.Models[0].Name
	for _, member := range world.Entries {
		require.Eventually(t, func() bool { return member.Entry.ServedElsewhere(model) }, patience, 10*time.Millisecond)
	}
	t.Run("IsResumedElsewhere", func(t *testing.T) {
		setFaults(world.Engines[:1], fakeengine.Faults{DieAfterTokens: 3})
		for i := range 20 {
			prompt := fmt.Sprintf("resumed %d", i)
			response := ask(t.Context(), t, world.CallerAddresses()[i%9], model, prompt, 12)
			text, whole, code := readAnswer(response.Body)
			response.Body.Close()
			require.True(t, whole, code)
			require.Equal(t, fakeengine.Text(model+"\n"+prompt, 12), text)
		}
	})
	t.Run("NeverLooksWhole", func(t *testing.T) {
		setFaults(world.Engines, fakeengine.Faults{DieAfterTokens: 3})
		response := ask(t.Context(), t, world.CallerAddresses()[0], model, "broken", 100)
		defer response.Body.Close()
		text, whole, code := readAnswer(response.Body)
		require.False(t, whole)
		require.Equal(t, "AnswerBroken", code)
		require.True(t, strings.HasPrefix(fakeengine.Text(model+"\nbroken", 100), text))
	})
}

func TestForeignAnswersNeverReachACaller(t *testing.T) {
	world := newWorld(t, deployment.Peplos(), 3)
	model := world.Deployment.Configuration.Models[0].Name
	setFaults(world.Engines, fakeengine.Faults{Foreign: true})
	response := ask(t.Context(), t, world.CallerAddresses()[0], model, "mine", 5)
	defer response.Body.Close()
	require.NotEqual(t, http.StatusOK, response.StatusCode)
}

func TestThousandTaggedAnswersAreNeverCrossed(t *testing.T) {
	world := newWorld(t, deployment.Peplos(), 3)
	setFaults(world.Engines[:3], fakeengine.Faults{DieAfterTokens: 4})
	models := world.Deployment.Configuration.Models
	type result struct {
		got, want, code string
		status          int
	}
	results := make(chan result)
	for i := range 1000 {
		go func() {
			model := models[i%len(models)].Name
			prompt := fmt.Sprintf("tag %d", i)
			response := ask(t.Context(), t, world.CallerAddresses()[i%9], model, prompt, 8)
			defer response.Body.Close()
			text, whole, code := readAnswer(response.Body)
			r := result{
				got:    text,
				want:   fakeengine.Text(model+"\n"+prompt, 8),
				status: response.StatusCode,
				code:   code,
			}
			if !whole {
				// What came before the break must be this answer's too.
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
