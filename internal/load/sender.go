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

// sender makes one call.
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
		return observation{outcome: unsent}
	}
	request.Header.Set("X-Caller", c.caller)
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	began := s.clock.Now()
	response, err := s.client.Do(request)
	if err != nil {
		return observation{outcome: unsent}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return observation{outcome: cut}
	}
	if response.StatusCode != http.StatusOK {
		return observation{outcome: codeOf(body)}
	}
	return observation{
		outcome: answered,
		first:   s.clock.Since(began),
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
		return observation{outcome: unsent}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return observation{outcome: unsent}
	}
	request.Header.Set("X-Caller", c.caller)
	began := s.clock.Now()
	response, err := s.client.Do(request)
	if err != nil {
		return observation{outcome: unsent}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		refused, _ := io.ReadAll(response.Body)
		return observation{outcome: codeOf(refused)}
	}
	return s.readStream(response.Body, c, began)
}

// readStream reads server-sent events to their end mark.
func (s *sender) readStream(body io.Reader, c call, began time.Time) observation {
	o := observation{
		outcome: cut,
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
			o.outcome = answered
			break
		}
		token, refused := decodeEvent(data)
		if refused != "" {
			o.outcome = refused
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
	o.first = first.Sub(began)
	if o.tokens > 1 {
		o.between = last.Sub(first) / time.Duration(o.tokens-1)
	}
	if o.outcome == answered && s.options.Verify != nil && !s.options.Verify(c.model, c.prompt, text.String(), s.options.Tokens) {
		o.outcome = wrong
	}
	return o
}

// decodeEvent returns the token of an event, or the code of the refusal that it carries.
func decodeEvent(data string) (token, refused string) {
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
		return "", cut
	}
	if decoded.Error != nil {
		return "", decoded.Error.Code
	}
	if len(decoded.Choices) == 0 {
		return "", ""
	}
	return decoded.Choices[0].Delta.Content, ""
}

func codeOf(body []byte) string {
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
