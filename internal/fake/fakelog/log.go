package fakelog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// FaultError is the cause of a failure that was injected.
type FaultError struct {
	Fault string
}

// Error implements error.
func (e *FaultError) Error() string { return "injected fault: " + e.Fault }

// Log is an in-memory log service that implements logservice.Log without HTTP.
type Log struct {
	clock clockwork.Clock

	mu      sync.Mutex
	random  *rand.Rand
	faults  Faults
	streams map[string]*stream
	appends uint64
}

type stream struct {
	first   logservice.Offset
	records []logservice.Record
	changed chan struct{}
}

// New returns an empty log whose random faults are determined by seed.
func New(clock clockwork.Clock, seed uint64) *Log {
	return &Log{
		clock:   clock,
		random:  rand.New(rand.NewPCG(seed, seed)),
		streams: make(map[string]*stream),
	}
}

// SetFaults replaces the faults that the log injects.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		s.notify()
	}
}

// Appends returns the total number of records added.
func (l *Log) Appends() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// DropBefore drops the records of a stream whose offset is below first.
func (l *Log) DropBefore(name string, first logservice.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if first <= s.first {
		return
	}
	s.records = append([]logservice.Record(nil), s.records[first-s.first:]...)
	s.first = first
}

// Append implements logservice.Log.
func (l *Log) Append(ctx context.Context, name string, payload []byte) (logservice.Offset, error) {
	if err := l.delay(ctx); err != nil {
		return 0, &logservice.UnavailableError{Stream: name, Cause: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage || l.random.Float64() < l.faults.RefusedAppend {
		return 0, &logservice.UnavailableError{Stream: name, Cause: &FaultError{Fault: "outage"}}
	}
	s := l.stream(name)
	offset := s.first + logservice.Offset(len(s.records))
	s.records = append(s.records, logservice.Record{
		Offset:  offset,
		Time:    l.clock.Now(),
		Payload: append([]byte(nil), payload...),
	})
	l.appends++
	s.notify()
	if l.random.Float64() < l.faults.LostAnswer {
		return 0, &logservice.ResponseLostError{Stream: name, Cause: &FaultError{Fault: "lost answer"}}
	}
	return offset, nil
}

// Read implements logservice.Log.
func (l *Log) Read(ctx context.Context, name string, from logservice.Offset, limit int, wait time.Duration) (logservice.Page, error) {
	if err := l.delay(ctx); err != nil {
		return logservice.Page{}, &logservice.UnavailableError{Stream: name, Cause: err}
	}
	timeout := l.clock.After(wait)
	for {
		page, changed, err := l.readPage(name, from, limit)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, &logservice.UnavailableError{Stream: name, Cause: ctx.Err()}
		}
	}
}

// readPage returns the records that are available now, and a channel that is closed when the stream or the faults change.
func (l *Log) readPage(name string, from logservice.Offset, limit int) (logservice.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if l.faults.Outage {
		return logservice.Page{}, nil, &logservice.UnavailableError{Stream: name, Cause: &FaultError{Fault: "outage"}}
	}
	from = max(from, s.first)
	end := s.first + logservice.Offset(len(s.records))
	page := logservice.Page{
		First: s.first,
		Next:  from,
	}
	if from < end {
		pageEnd := min(end, from+logservice.Offset(limit))
		page.Records = s.records[from-s.first : pageEnd-s.first : pageEnd-s.first]
		page.Next = pageEnd
	}
	return page, s.changed, nil
}

func (l *Log) delay(ctx context.Context) error {
	l.mu.Lock()
	delay := l.faults.Delay
	l.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-l.clock.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{
			first:   1,
			changed: make(chan struct{}),
		}
		l.streams[name] = s
	}
	return s
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
