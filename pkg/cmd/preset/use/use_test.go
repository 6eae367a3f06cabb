package use_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/pkg/cmd/preset/use"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// startFakeVM starts a fake entry VM with version 7 in force and returns its address. It sends each change that it receives
// to changes and replies with answer, or closes the connection if answer is empty.
func startFakeVM(t *testing.T, answer operatorapi.Answer, changes chan<- operatorapi.Change) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(operatorapi.InForce{Version: 7})
			return
		}
		var change operatorapi.Change
		_ = json.NewDecoder(r.Body).Decode(&change)
		changes <- change
		if answer == "" {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(operatorapi.Outcome{
			ID:      change.ID,
			Answer:  answer,
			Version: 8,
			Winner:  "other",
		})
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestUse(t *testing.T) {
	for _, tt := range []struct {
		name     string
		args     []string
		answer   operatorapi.Answer
		wantCode cmdutil.ExitCode
		wantBase uint64
		wantOut  string
	}{
		{
			name:     "accepted",
			answer:   operatorapi.Accepted,
			wantBase: 7,
			wantOut:  "Accepted version 8\n",
		},
		{
			name:     "conflict names the winner",
			answer:   operatorapi.Conflict,
			wantCode: cmdutil.ExitConflict,
			wantBase: 7,
			wantOut:  "Conflict version 8 is in force, set by change other\n",
		},
		{
			name:     "explicit base",
			args:     []string{"-base", "5"},
			answer:   operatorapi.Accepted,
			wantBase: 5,
			wantOut:  "Accepted version 8\n",
		},
		{
			name:     "lost answer counts as unknown, not as failed",
			wantCode: cmdutil.ExitUnknown,
			wantBase: 7,
			wantOut:  "UnknownYet",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			changes := make(chan operatorapi.Change, 1)
			streams, _, out, _ := iostreams.Test()
			f := &cmdutil.Factory{
				IOStreams:  streams,
				HTTPClient: func() *http.Client { return http.DefaultClient },
			}
			args := append([]string{"peak", "-entry", startFakeVM(t, tt.answer, changes)}, tt.args...)
			err := use.NewCommand(f, nil).Execute(t.Context(), args, out)
			require.Equal(t, tt.wantCode, cmdutil.ExitCodeOf(err))
			got := <-changes
			require.Equal(t, "peak", got.Preset)
			require.Equal(t, tt.wantBase, got.Base)
			require.NotEmpty(t, got.ID)
			require.Contains(t, out.String(), tt.wantOut)
		})
	}
}
