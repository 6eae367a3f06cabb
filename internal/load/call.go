package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// Kind groups calls in the result.
type Kind string

// The kinds of call.
const (
	InteractiveCall Kind = "People"
	BatchCall       Kind = "Batch"
	IdempotentCall  Kind = "Idempotent"
	KeyedCall       Kind = "Keyed"
)

// zipfExponent is the exponent of the Zipf distribution that skews demand towards a few models.
const zipfExponent = 1.1

// maxPromptWords is the most words of a prompt.
const maxPromptWords = 40

// call is one planned call.
type call struct {
	at      time.Duration
	kind    Kind
	model   string
	service configuration.Service
	prompt  string
	caller  string
	key     string
}

// plan returns the calls of a run, ordered by time; equal seeds give equal calls.
func plan(o Options) []call {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	names := modelNames(o.Configuration)
	zipf := rand.NewZipf(random, zipfExponent, 1, uint64(len(names)-1))
	var calls []call
	for at := time.Duration(0); at < o.Duration; {
		rate := o.Rate
		if at < time.Second {
			rate *= max(o.StartFactor, 1)
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		c := call{
			at:     at,
			caller: fmt.Sprintf("caller-%d", random.IntN(callerCount)),
		}
		if random.Float64() < o.ServiceShare {
			c.setPlainCall(o.Configuration, random, len(calls), o.Seed)
		} else {
			c.model = names[zipf.Uint64()]
			c.prompt = randomPrompt(random)
			c.kind = InteractiveCall
			if model, _ := o.Configuration.Model(c.model); model.Class == configuration.Batch {
				c.kind = BatchCall
			}
		}
		calls = append(calls, c)
	}
	return calls
}

// callerCount is the number of callers that the calls are spread over.
const callerCount = 50

func modelNames(c configuration.Configuration) []string {
	var names []string
	for _, model := range c.Models {
		names = append(names, model.Name)
	}
	for _, adapter := range c.Adapters {
		names = append(names, adapter.Name)
	}
	return names
}

// setPlainCall makes c a call to a plain service. About half of the calls are idempotent, if the service has idempotent
// routes, and the others carry a key.
func (c *call) setPlainCall(config configuration.Configuration, random *rand.Rand, index int, seed uint64) {
	for _, service := range config.Services {
		if service.Kind == configuration.PlainService {
			c.service = service
		}
	}
	c.kind = KeyedCall
	c.key = fmt.Sprintf("load-%d-%d", seed, index)
	if random.Float64() < 0.5 && len(c.service.Idempotent) > 0 {
		c.kind = IdempotentCall
		c.key = ""
	}
}

func randomPrompt(random *rand.Rand) string {
	words := ""
	for range 1 + random.IntN(maxPromptWords) {
		words += fmt.Sprintf("word%d ", random.IntN(1000))
	}
	return words
}
