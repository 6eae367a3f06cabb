package fleet_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// failureRecorder records failures without failing the test that it wraps.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Error(...any)          { r.failed = true }
func (r *failureRecorder) Fail()                 { r.failed = true }
func (r *failureRecorder) Failed() bool          { return r.failed }
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}
func (r *failureRecorder) Fatalf(string, ...any) { r.FailNow() }
func (r *failureRecorder) Fatal(...any)          { r.FailNow() }

// checkFails reports whether a property check fails.
func checkFails(t *testing.T, check func(*rapid.T)) bool {
	recorder := &failureRecorder{
		TB: t,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(recorder, check)
	}()
	<-done
	return recorder.failed
}

// The check in TestMemoryIsNeverOvercommitted must fail when one of the rules that it relies on is broken.
func TestMutatedRulesAreDetected(t *testing.T) {
	for _, tt := range []struct {
		name     string
		mutation mutation
		fencing  configuration.Fencing
	}{
		{
			name:     "engine restart alone settles orders",
			mutation: settlesOnRestart,
			fencing:  configuration.Ignored,
		},
		{
			name:     "new holder ignores orders of the previous one",
			mutation: ignoresForeignOrders,
			fencing:  configuration.Ignored,
		},
		{
			name:     "unload frees memory before a report shows it",
			mutation: freesMemoryOnUnloadIntent,
			fencing:  configuration.Ignored,
		},
		{
			name:     "fencing token that a restart resets settles orders",
			mutation: settlesOnVolatileFence,
			fencing:  configuration.Enforced,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.True(t, checkFails(t, simulate(tt.mutation, tt.fencing)))
		})
	}
}
