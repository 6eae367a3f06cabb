package serve_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/serve"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

func TestFlags(t *testing.T) {
	for _, tt := range []struct {
		name     string
		args     []string
		wantPath string
		wantCode cmdutil.ExitCode
	}{
		{name: "given", args: []string{"-settings", "x.ini"}, wantPath: "x.ini"},
		{name: "path set by the platform", wantPath: "/placed/by/the/platform"},
		{name: "unknown flag", args: []string{"-x"}, wantCode: cmdutil.ExitUsage},
		{name: "argument", args: []string{"x"}, wantCode: cmdutil.ExitUsage},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Setenv("COWSLIPARCH_NODE_FILE", "/placed/by/the/platform")
			streams, _, out, _ := iostreams.Test()
			got := ""
			command := serve.NewCommand(&cmdutil.Factory{IOStreams: streams}, func(_ context.Context, opts *serve.Options) error {
				got = opts.Path
				return nil
			})
			err := command.Execute(t.Context(), tt.args, out)
			require.Equal(t, tt.wantCode, cmdutil.ExitCodeOf(err))
			require.Equal(t, tt.wantPath, got)
		})
	}
}

func TestUnusableSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "serve.ini")
	require.NoError(t, os.WriteFile(path, []byte("[VM]\nName = x\n"), 0o600))
	streams, _, out, errOut := iostreams.Test()
	command := serve.NewCommand(&cmdutil.Factory{IOStreams: streams}, nil)
	err := command.Execute(t.Context(), []string{"-settings", path}, out)
	require.Equal(t, cmdutil.ExitUsage, cmdutil.ExitCodeOf(err))
	require.Contains(t, errOut.String(), "CallerAddress")
	_, err = settings.ReadServing(filepath.Join(t.TempDir(), "none"))
	require.Error(t, err)
}
