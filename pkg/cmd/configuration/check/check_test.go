package check_test

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/configcheck"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/configuration/check"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/platform/platformtest"
)

// result is what one run of the command left.
type result struct {
	code cmdutil.ExitCode
	out  string
	err  error
}

// runCheck runs the command; input is its standard input. It fails the test if anything that users see contains a key.
func runCheck(t *testing.T, input string, args ...string) result {
	t.Helper()
	streams, in, out, errOut := iostreams.Test()
	in.WriteString(input)
	f := &cmdutil.Factory{
		IOStreams: streams,
		Clock:     clockwork.NewRealClock,
	}
	err := check.NewCommand(f, nil).Execute(t.Context(), args, out)
	require.NotContains(t, out.String()+errOut.String(), platformtest.KeyMark)
	if err != nil {
		require.NotContains(t, err.Error(), platformtest.KeyMark)
	}
	require.Empty(t, errOut.String())
	return result{
		code: cmdutil.ExitCodeOf(err),
		out:  out.String(),
		err:  err,
	}
}

// write writes a configuration to a file and returns its path.
func write(t *testing.T, document string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	require.NoError(t, os.WriteFile(path, []byte(document), 0o600))
	return path
}

// startStore starts a stand-in of the store with a configuration, or without one, and returns its address.
func startStore(t *testing.T, document string) string {
	t.Helper()
	store := platformtest.NewStore(clockwork.NewRealClock())
	if document != "" {
		store.PutConfiguration([]byte(document))
	}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// differences is what the command prints about NextConfiguration, compared with ConfigurationInForce.
const differences = `Differences from version 3:
  Changed account hall: Burst from 3000 to 4000
  Changed account hall: Keys from 2 keys to 2 keys (1 added, 1 removed)
  Changed route book: Timeout from 3s to 2.5s
  Added route look
`

// Guards against a sound change that has findings or fails, and against differences being missed.
func TestSoundChangePasses(t *testing.T) {
	path := write(t, platformtest.NextConfiguration)
	alone := runCheck(t, "", path)
	require.Equal(t, cmdutil.ExitOK, alone.code)
	require.Equal(t, path+": 0 errors, 0 warnings\n", alone.out)
	against := runCheck(t, "", path, "-against", write(t, platformtest.ConfigurationInForce))
	require.Equal(t, cmdutil.ExitOK, against.code)
	require.Equal(t, differences+path+": 0 errors, 0 warnings\n", against.out)
	fromInput := runCheck(t, platformtest.NextConfiguration, "-", "-against", write(t, platformtest.ConfigurationInForce))
	require.Equal(t, differences+"-: 0 errors, 0 warnings\n", fromInput.out)
}

// Guards against the store's configuration being read wrongly, and against a store that is empty or unavailable.
func TestStoreIsCompared(t *testing.T) {
	path := write(t, platformtest.NextConfiguration)
	compared := runCheck(t, "", path, "-store", startStore(t, platformtest.ConfigurationInForce))
	require.Equal(t, cmdutil.ExitOK, compared.code)
	require.Equal(t, differences+path+": 0 errors, 0 warnings\n", compared.out)
	for _, none := range append(platformtest.UndecodableConfigurations, "") {
		empty := runCheck(t, "", path, "-store", startStore(t, none))
		require.Equal(t, cmdutil.ExitOK, empty.code)
		require.Contains(t, empty.out, "No configuration is in force\n")
		require.Contains(t, empty.out, "  Added account hall\n")
	}
	unreachable := runCheck(t, "", path, "-store", "127.0.0.1:1")
	require.Equal(t, cmdutil.ExitError, unreachable.code)
	require.True(t, check.StoreError.Has(unreachable.err))
}

// Guards against a version that VMs would ignore passing the check.
func TestOldVersionFails(t *testing.T) {
	path := write(t, platformtest.ConfigurationInForce)
	old := runCheck(t, "", path, "-against", path)
	require.Equal(t, cmdutil.ExitError, old.code)
	require.Contains(t, old.out, "Error NotNewer version: ")
	require.Contains(t, old.out, "Nothing differs from version 3\n")
	require.Contains(t, old.out, ": 1 error, 0 warnings\n")
}

// Guards against warnings that fail the check, and against keys in them.
func TestWarningsPass(t *testing.T) {
	path := write(t, platformtest.OddConfiguration)
	odd := runCheck(t, "", path, "-against", write(t, platformtest.ConfigurationInForce))
	require.Equal(t, cmdutil.ExitOK, odd.code)
	require.Contains(t, odd.out, "Warning SharedKey account yard: 2 keys are held by account hall too")
	require.Contains(t, odd.out, "Warning UnknownField line 5: ")
	require.Contains(t, odd.out, ": 0 errors, 5 warnings\n")
}

// Guards against a configuration that VMs reject passing the check, whichever way it is read, and against its keys in errors.
func TestUndecodableConfigurationFails(t *testing.T) {
	sound := write(t, platformtest.NextConfiguration)
	for _, document := range platformtest.UndecodableConfigurations {
		path := write(t, document)
		rejected := runCheck(t, "", path, "-against", sound)
		require.Equal(t, cmdutil.ExitError, rejected.code)
		require.True(t, strings.HasPrefix(rejected.out, "Error Undecodable "), rejected.out)
		require.Equal(t, cmdutil.ExitError, runCheck(t, "", path, "-json").code)
		against := runCheck(t, "", sound, "-against", path)
		require.Equal(t, cmdutil.ExitError, against.code)
		var invalid *check.AgainstError
		require.ErrorAs(t, against.err, &invalid)
	}
}

// Guards against JSON that scripts can't rely on: missing lists, other counts than the text has, or keys.
func TestJSON(t *testing.T) {
	path := write(t, platformtest.OddConfiguration)
	var odd, sound configcheck.Report
	written := runCheck(t, "", path, "-json", "-against", write(t, platformtest.ConfigurationInForce))
	require.Equal(t, cmdutil.ExitOK, written.code)
	require.NoError(t, json.Unmarshal([]byte(written.out), &odd))
	require.EqualValues(t, 4, odd.Version)
	require.Equal(t, 5, odd.Warnings)
	require.Len(t, odd.Findings, 5)
	require.EqualValues(t, 3, odd.Compared.Version)
	require.NotEmpty(t, odd.Compared.Differences)
	written = runCheck(t, "", write(t, platformtest.NextConfiguration), "-json")
	require.NoError(t, json.Unmarshal([]byte(written.out), &sound))
	require.Contains(t, written.out, `"Findings": []`)
	require.NotContains(t, written.out, "Compared")
}

// Guards against wrong usage that looks like a faulty configuration.
func TestWrongUsage(t *testing.T) {
	path := write(t, platformtest.NextConfiguration)
	for _, args := range [][]string{
		{},
		{path, path},
		{path, "-unknown"},
		{path, "-against", path, "-store", "127.0.0.1:1"},
		{"-", "-against", "-"},
	} {
		require.Equal(t, cmdutil.ExitUsage, runCheck(t, "", args...).code, args)
	}
	missing := runCheck(t, "", path+".missing")
	require.Equal(t, cmdutil.ExitError, missing.code)
	require.True(t, check.FileError.Has(missing.err))
}
