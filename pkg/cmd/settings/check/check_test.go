package check_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/settings/check"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		name     string
		content  string
		wantCode cmdutil.ExitCode
		wantOut  string
		wantErr  string
	}{
		{
			name:    "example passes",
			content: settings.Example(),
			wantOut: "passes",
		},
		{
			name:     "fault names section, key, value and allowed values",
			content:  strings.Replace(settings.Example(), "127.0.0.1:8080", "nowhere", 1),
			wantCode: cmdutil.ExitUsage,
			wantErr:  `[VM] CallerAddress = "nowhere": expected an IP address and a port`,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "entry.ini")
			require.NoError(t, os.WriteFile(path, []byte(tt.content), 0o600))
			streams, _, out, errOut := iostreams.Test()
			f := &cmdutil.Factory{
				IOStreams: streams,
				Settings:  settings.Read,
			}
			err := check.NewCommand(f, nil).Execute(t.Context(), []string{path}, out)
			require.Equal(t, tt.wantCode, cmdutil.ExitCodeOf(err))
			require.Contains(t, out.String(), tt.wantOut)
			require.Contains(t, errOut.String(), tt.wantErr)
		})
	}
}
