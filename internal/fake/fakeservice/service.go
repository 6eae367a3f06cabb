package fakeservice

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// KeyHeader is the header that carries a call's idempotency key.
const KeyHeader = "Idempotency-Key"

// Faults configures the faults that the service injects.
type Faults struct {
	// LostAnswer is the share of calls that are executed but whose response is dropped.
	LostAnswer float64
	// Delay is added to every call.
	Delay time.Duration
}

// Journal counts executions by idempotency key across all endpoints of a service.
type Journal struct {
	mu         sync.Mutex
	executions map[string]int
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{
		executions: make(map[string]int),
	}
}

// Executions returns how often the call with a key was executed.
func (j *Journal) Executions(key string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executions[key]
}

// MaxExecutions returns the highest number of executions of a single key; calls without a key don't count.
func (j *Journal) MaxExecutions() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	highest := 0
	for key, n := range j.executions {
		if key != "" {
			highest = max(highest, n)
		}
	}
	return highest
}

func (j *Journal) record(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions[key]++
}

// Service is one endpoint of a plain service.
type Service struct {
	journal *Journal
	clock   clockwork.Clock

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
}

// New returns an endpoint that counts its executions in journal and whose random faults are determined by seed.
func New(journal *Journal, clock clockwork.Clock, seed uint64) *Service {
	return &Service{
		journal: journal,
		clock:   clock,
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetFaults replaces the faults that the service injects.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler serves the endpoint over HTTP; the response repeats the request's method, path and body as JSON.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		faults := s.faults
		drop := s.random.Float64() < faults.LostAnswer
		s.mu.Unlock()
		if faults.Delay > 0 {
			s.clock.Sleep(faults.Delay)
		}
		s.journal.record(r.Header.Get(KeyHeader))
		if drop {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(struct {
			Method string
			Path   string
			Body   string
		}{
			Method: r.Method,
			Path:   r.URL.Path,
			Body:   string(body),
		})
	})
}
