package origin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

var errDown = errors.New("down")

// memoryLog is a log that outlasts the trackers; it takes a few milliseconds for a call.
type memoryLog struct {
	mu      sync.Mutex
	records []logservice.Record
	era     logservice.Era
	// restoredAt is when the log last came back from a copy.
	restoredAt time.Time
	down       bool
	reads      int
	appends    int
	// appended is closed and replaced at each append.
	appended chan struct{}
}

func (l *memoryLog) Append(_ context.Context, stream string, payload []byte) (logservice.Era, error) {
	time.Sleep(4 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return 0, &logservice.UnavailableError{Stream: stream, Cause: errDown}
	}
	l.records = append(l.records, logservice.Record{
		Offset:  logservice.Offset(len(l.records)),
		Payload: payload,
	})
	close(l.appended)
	l.appended = make(chan struct{})
	return l.era, nil
}

// Era tells nothing: the VMs of these tests learn of a new era from what they read and append, and from the lease holder.
func (l *memoryLog) Era() logservice.Era { return 0 }

// restore has the log come back from a copy with its first records, in a new era.
func (l *memoryLog) restore(records int) {
	l.update(func(l *memoryLog) {
		l.records = slices.Clip(l.records[:records])
		l.era++
		l.restoredAt = time.Now()
	})
}

// length returns the number of records.
func (l *memoryLog) length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

func (l *memoryLog) Read(_ context.Context, stream string, from logservice.Position, wait time.Duration) (logservice.Page, error) {
	time.Sleep(4 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return logservice.Page{}, &logservice.UnavailableError{Stream: stream, Cause: errDown}
	}
	if from.Offset > 0 && from.Era != l.era {
		return logservice.Page{}, &logservice.EraChangedError{Stream: stream, Era: l.era}
	}
	if int(from.Offset) >= len(l.records) {
		appended := l.appended
		l.mu.Unlock()
		select {
		case <-appended:
		case <-time.After(wait):
		}
		l.mu.Lock()
	}
	end := logservice.Offset(len(l.records))
	return logservice.Page{
		Records: l.records[min(from.Offset, end):],
		Next:    end,
		End:     end,
		Era:     l.era,
	}, nil
}

func (l *memoryLog) update(change func(*memoryLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *memoryLog) calls() (reads, appends int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads, l.appends
}
