package explain_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/pkg/cmd/explain"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
)

const (
	refusedLine = `{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"CallRefused","VM":"vm-2","Event":1902,"Request":"q1","Holders":0}`
	failedLine  = `{"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"SendFailed","VM":"vm-1","Event":1911,"Request":"q1","Runner":"r1"}`
)

func runExplain(t *testing.T, input string, args ...string) (out, errOut string, err error) {
	t.Helper()
	streams, in, outBuffer, errBuffer := iostreams.Test()
	in.WriteString(input)
	command := explain.NewCommand(&cmdutil.Factory{IOStreams: streams}, nil)
	err = command.Execute(context.Background(), args, outBuffer)
	return outBuffer.String(), errBuffer.String(), err
}

func TestRequestFromStandardInput(t *testing.T) {
	out, errOut, err := runExplain(t, refusedLine+"\nnoise\n"+failedLine+"\n", "-request", "q1")
	require.NoError(t, err)
	require.Equal(t, "2026-01-01T00:00:01Z vm-1 SendFailed Request=q1 Runner=r1\n"+
		"2026-01-01T00:00:03Z vm-2 CallRefused Holders=0 Request=q1\n", out)
	require.Contains(t, errOut, "1 lines")
}

func TestRequestFromFilesAsJSON(t *testing.T) {
	dir := t.TempDir()
	files := []string{filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")}
	require.NoError(t, os.WriteFile(files[0], []byte(refusedLine), 0o600))
	require.NoError(t, os.WriteFile(files[1], []byte(failedLine), 0o600))
	out, _, err := runExplain(t, "", "-request", "q1", "-json", files[0], files[1])
	require.NoError(t, err)
	var lines []struct {
		VM string
	}
	require.NoError(t, json.Unmarshal([]byte(out), &lines))
	require.Len(t, lines, 2)
	require.Equal(t, "vm-1", lines[0].VM)
}

func TestRequestErrors(t *testing.T) {
	for name, args := range map[string][]string{
		"unknown request":        {"-request", "q2"},
		"missing file":           {"-request", "q1", "no-such-file"},
		"files without -request": {"some-file"},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := runExplain(t, refusedLine, args...)
			require.Error(t, err)
		})
	}
}
