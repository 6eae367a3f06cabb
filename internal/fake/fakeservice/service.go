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

// KeyHeader carries a call's idempotency key.
const KeyHeader = "Idempotency-Key"

// Faults says how the service misbehaves.
type Faults struct {
	// LostAnswer is the share of calls that run and whose answer is dropped.
	LostAnswer float64
	// Delay is how long each call takes.
	Delay time.Duration
}

// Journal counts executions by key over all endpoints of a service.
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

// Executions returns how often the call with a key ran.
func (j *Journal) Executions(key string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executions[key]
}

// Most returns the highest number of executions of any one key.
func (j *Journal) Most() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	most := 0
	for key, n := range j.executions {
		if key != "" {
			most = max(most, n)
		}
	}
	return most
}

func (j *Journal) add(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions[key]++
}

// Service is one endpoint.
type Service struct {
	journal *Journal
	clock   clockwork.Clock

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
}

// New returns an endpoint that writes to journal.
func New(journal *Journal, clock clockwork.Clock, seed uint64) *Service {
	return &Service{
		journal: journal,
		clock:   clock,
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetFaults changes how the service misbehaves from now on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler serves the endpoint over HTTP; it answers with the request's method, path and body.
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
		s.journal.add(r.Header.Get(KeyHeader))
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
