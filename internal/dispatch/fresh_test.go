package dispatch_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Requests that may run once, and the last chance of others, are not put on connections that runners may have forgotten: nobody could
// tell whether they have run, or try them again.
func TestRequestsWithoutAnotherChanceGetFreshConnections(t *testing.T) {
	for path, want := range map[string][]bool{
		"/safe/":   {false, true},
		"/unsafe/": {true},
		"/stream/": {false, true},
		"/once/":   {true},
	} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t, loseResponse, respond(http.StatusOK, "data: a\n\n"))
			h.serve(t, path)
			var got []bool
			for _, attempt := range h.sender.attempts {
				got = append(got, attempt.Fresh)
			}
			require.Equal(t, want, got)
		})
	}
}
