package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// sender sends one call to an entry VM.
type sender struct {
	options Options
	client  *http.Client
	clock   clockwork.Clock
	address string
}

func (s *sender) send(ctx context.Context, c call, result *Result) {
	if c.model != "" {
		model, _ := s.options.Configuration.Model(c.model)
		objective, _ := s.options.Configuration.Objective(model.Service, model.Class)
		result.add(c.kind, s.sendModel(ctx, c), objective)
		return
	}
	objective, _ := s.options.Configuration.Objective(c.service.Name, configuration.People)
	result.add(c.kind, s.sendPlain(ctx, c), objective)
}

func (s *sender) sendPlain(ctx context.Context, c call) observation {
	method, path := http.MethodPost, "/reservations"
	if c.kind == IdempotentCall {
		method, path = c.service.Idempotent[0].Method, c.service.Idempotent[0].PathPrefix
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.address+"/services/"+c.service.Name+path, strings.NewReader(c.key))
	if err != nil {
		return observation{outcome: outcomeUnreached}
	}
	request.Header.Set("X-Caller", c.caller)
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	start := s.clock.Now()
	response, err := s.client.Do(request)
	if err != nil {
		return observation{outcome: outcomeUnreached}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return observation{outcome: outcomeCut}
	}
	if response.StatusCode != http.StatusOK {
		return observation{outcome: errorCode(body)}
	}
	return observation{
		outcome:    outcomeAnswered,
		firstToken: s.clock.Since(start),
	}
}

func (s *sender) sendModel(ctx context.Context, c call) observation {
	body, err := json.Marshal(struct {
		Model     string              `json:"model"`
		Stream    bool                `json:"stream"`
		MaxTokens int                 `json:"max_tokens"`
		Messages  []map[string]string `json:"messages"`
	}{
		Model:     c.model,
		Stream:    true,
		MaxTokens: s.options.Tokens,
		Messages: []map[string]string{
			{
				"role":    "user",
				"content": c.prompt,
			},
		},
	})
	if err != nil {
		return observation{outcome: outcomeUnreached}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return observation{outcome: outcomeUnreached}
	}
	request.Header.Set("X-Caller", c.caller)
	start := s.clock.Now()
	response, err := s.client.Do(request)
	if err != nil {
		return observation{outcome: outcomeUnreached}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		errorBody, _ := io.ReadAll(response.Body)
		return observation{outcome: errorCode(errorBody)}
	}
	return s.readStream(response.Body, c, start)
}

// readStream reads server-sent events until the end marker or an error event.
func (s *sender) readStream(body io.Reader, c call, start time.Time) observation {
	o := observation{
		outcome: outcomeCut,
	}
	var text strings.Builder
	var first, last time.Time
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.outcome = outcomeAnswered
			break
		}
		token, code := decodeEvent(data)
		if code != "" {
			o.outcome = code
			return o
		}
		if token == "" {
			continue
		}
		text.WriteString(token)
		last = s.clock.Now()
		if o.tokens == 0 {
			first = last
		}
		o.tokens++
	}
	o.firstToken = first.Sub(start)
	if o.tokens > 1 {
		o.tokenInterval = last.Sub(first) / time.Duration(o.tokens-1)
	}
	if o.outcome == outcomeAnswered && s.options.Verify != nil && !s.options.Verify(c.model, c.prompt, text.String(), s.options.Tokens) {
		o.outcome = outcomeWrongAnswer
	}
	return o
}

// decodeEvent returns the token of an event, or an outcome: the code of the error that the event carries, or outcomeCut if
// it can't be decoded.
func decodeEvent(data string) (token, code string) {
	var decoded struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *struct {
			Code string
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &decoded); err != nil {
		return "", outcomeCut
	}
	if decoded.Error != nil {
		return "", decoded.Error.Code
	}
	if len(decoded.Choices) == 0 {
		return "", ""
	}
	return decoded.Choices[0].Delta.Content, ""
}

func errorCode(body []byte) string {
	var decoded struct {
		Error struct {
			Code string
		}
	}
	if json.Unmarshal(body, &decoded) != nil || decoded.Error.Code == "" {
		return "Unexpected"
	}
	return decoded.Error.Code
}
