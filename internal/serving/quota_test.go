package serving

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/boottime"
	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orderlease"
	"github.com/cowsliparch/cowsliparch/internal/settings"
)

// memoryLog is a log stream in memory.
type memoryLog struct {
	mu      sync.Mutex
	records []logservice.Record
}

func (l *memoryLog) AppendAt(_ context.Context, name string, at logservice.Position, payload []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := logservice.Offset(len(l.records)); at.Offset != end {
		return &logservice.EndMismatchError{Stream: name, End: end}
	}
	l.records = append(l.records, logservice.Record{Offset: at.Offset, Payload: payload})
	return nil
}

func (l *memoryLog) Read(_ context.Context, _ string, from logservice.Position, _ time.Duration) (logservice.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := logservice.Offset(len(l.records))
	return logservice.Page{Records: l.records[min(from.Offset, end):], Next: end, End: end}, nil
}

// newHolder returns a server that holds the lease, with the given accounts; only its lease runs.
func newHolder(t *testing.T, accounts []catalog.Account) *Server {
	t.Helper()
	clock := clockwork.NewRealClock()
	s := &Server{
		Dependencies: Dependencies{
			Settings:  settings.Serving{VM: settings.ServingVM{Name: "vm"}},
			BootClock: boottime.System{},
			Logger:    slog.New(slog.DiscardHandler),
		},
		catalog:     catalog.NewActive(),
		incarnation: "run",
		quotas:      newQuotas(boottime.System{}, func() []catalog.Account { return accounts }),
	}
	s.catalog.SetIfNewer(catalog.New(1, catalog.Limits{}, nil, nil))
	s.lease = orderlease.New(orderlease.Options{
		Name:        "vm",
		Address:     "address",
		Incarnation: "run",
		Term:        time.Second,
		OnResign:    func() {},
		VMs:         s.vmsToRecord,
	}, &memoryLog{}, clock, s.BootClock, s.Logger)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.lease.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	require.Eventually(t, s.HoldsLease, 10*time.Second, time.Millisecond)
	return s
}

// A single VM that holds the lease must grant itself the whole quota.
func TestHolderGrantsItself(t *testing.T) {
	account := catalog.Account{
		Name: "a",
		Quota: catalog.Quota{
			Rate:  1000,
			Burst: 1000,
		},
	}
	s := newHolder(t, []catalog.Account{account})
	require.Equal(t, 67, s.vmsToRecord(67, 0), "a VM that claims the lease passes on the recorded number")
	require.Zero(t, s.lease.RecordedVMs(), "it is not known before other VMs have had time to report")
	require.Nil(t, s.QuotaGrants(), "no grant may be in force before the number is recorded")
	_, ok := s.quotas.Take(&account, 1)
	require.False(t, ok, "a new process begins with empty buckets")
	require.Eventually(t, func() bool {
		s.QuotaGrants()
		_, ok := s.quotas.Take(&account, 1)
		return ok
	}, 20*time.Second, 50*time.Millisecond)
	require.Equal(t, 1, s.lease.RecordedVMs())
	require.False(t, s.QuotaReport().Leaving)
	s.stopping.Store(true)
	require.True(t, s.QuotaReport().Leaving, "a planned stop is announced")
}

// Deployments without accounts must send and record nothing of quotas.
func TestNoQuotasWithoutLimitedAccounts(t *testing.T) {
	unlimited := catalog.Account{Name: "a"}
	s := newHolder(t, []catalog.Account{unlimited})
	require.Nil(t, s.QuotaReport())
	require.Nil(t, s.QuotaGrants())
	require.Zero(t, s.vmsToRecord(67, s.HeldFence()))
	_, ok := s.quotas.Take(&unlimited, 1)
	require.True(t, ok)
}
