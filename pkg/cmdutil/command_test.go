package cmdutil_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
)

func TestExecute(t *testing.T) {
	for _, tt := range []struct {
		name     string
		args     []string
		wantCode cmdutil.ExitCode
		wantArg  string
		wantOut  string
	}{
		{
			name:    "argument and flag after it",
			args:    []string{"verb", "x", "-loud"},
			wantArg: "x!",
		},
		{
			name:    "flag before the argument",
			args:    []string{"verb", "-loud", "x"},
			wantArg: "x!",
		},
		{
			name:    "help of a subcommand",
			args:    []string{"verb", "-h"},
			wantOut: "noun verb <arg>",
		},
		{
			name:    "help of the group",
			args:    []string{},
			wantOut: "COMMANDS",
		},
		{
			name:     "unknown command",
			args:     []string{"verbs"},
			wantCode: cmdutil.ExitUsage,
		},
		{
			name:     "unknown flag",
			args:     []string{"verb", "-quiet", "x"},
			wantCode: cmdutil.ExitUsage,
		},
		{
			name:     "missing argument",
			args:     []string{"verb"},
			wantCode: cmdutil.ExitUsage,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			loud := false
			got := ""
			command := &cmdutil.Command{
				Use: "noun",
				Commands: []*cmdutil.Command{
					{
						Use:  "verb <arg>",
						Args: 1,
						Flags: func(flags *flag.FlagSet) {
							flags.BoolVar(&loud, "loud", false, "shout")
						},
						Run: func(_ context.Context, args []string) error {
							got = args[0]
							if loud {
								got += "!"
							}
							return nil
						},
					},
				},
			}
			var out bytes.Buffer
			err := command.Execute(t.Context(), tt.args, &out)
			require.Equal(t, tt.wantCode, cmdutil.ExitCodeOf(err))
			require.Equal(t, tt.wantArg, got)
			require.Contains(t, out.String(), tt.wantOut)
		})
	}
}

func TestExitCodeOf(t *testing.T) {
	require.Equal(t, cmdutil.ExitOK, cmdutil.ExitCodeOf(nil))
	require.Equal(t, cmdutil.ExitConflict, cmdutil.ExitCodeOf(&cmdutil.SilentError{Code: cmdutil.ExitConflict}))
	require.Equal(t, cmdutil.ExitError, cmdutil.ExitCodeOf(errors.ErrUnsupported))
}
