package fleet_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// catcher is a test that may fail without failing the one around it.
type catcher struct {
	testing.TB
	failed bool
}

func (c *catcher) Errorf(string, ...any) { c.failed = true }
func (c *catcher) Error(...any)          { c.failed = true }
func (c *catcher) Fail()                 { c.failed = true }
func (c *catcher) Failed() bool          { return c.failed }
func (c *catcher) Logf(string, ...any)   {}
func (c *catcher) Log(...any)            {}
func (c *catcher) FailNow() {
	c.failed = true
	runtime.Goexit()
}
func (c *catcher) Fatalf(string, ...any) { c.FailNow() }
func (c *catcher) Fatal(...any)          { c.FailNow() }

func fails(t *testing.T, check func(*rapid.T)) bool {
	c := &catcher{
		TB: t,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(c, check)
	}()
	<-done
	return c.failed
}

func TestBrokenRulesAreCaught(t *testing.T) {
	for _, broken := range []struct {
		name    string
		variant variant
		fencing configuration.Fencing
	}{
		{
			name:    "an engine's restart alone settles its orders",
			variant: restartSettles,
			fencing: configuration.Ignored,
		},
		{
			name:    "a successor ignores its predecessor's orders",
			variant: ownIntentsOnly,
			fencing: configuration.Ignored,
		},
		{
			name:    "an unload frees its memory when it is sent",
			variant: unloadFreesAtSend,
			fencing: configuration.Ignored,
		},
		{
			name:    "a number that a restart forgets settles orders",
			variant: forgottenFence,
			fencing: configuration.Enforced,
		},
	} {
		t.Run(broken.name, func(t *testing.T) {
			require.True(t, fails(t, run(broken.variant, broken.fencing)))
		})
	}
}
