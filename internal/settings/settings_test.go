package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/settings"
)

func TestExampleIsValid(t *testing.T) {
	s, err := settings.Parse("example", []byte(settings.Example()))
	require.NoError(t, err)
	require.Equal(t, "attica-a", s.VM.FailureDomain)
	require.Equal(t, settings.Default().Limits, s.Limits)
}

func TestParseListsEveryFault(t *testing.T) {
	content := strings.NewReplacer(
		"Name = entry-1", "Nmae = entry-1",
		"127.0.0.1:8080", "localhost:8080",
		";MaxCalls = 10000", "MaxCalls = 0",
	).Replace(settings.Example()) + "\n[Extra]\nA = 1\n"
	_, err := settings.Parse("bad", []byte(content))
	var invalid *settings.InvalidError
	require.ErrorAs(t, err, &invalid)
	var got []string
	for _, fault := range invalid.Faults {
		got = append(got, fault.Section+"/"+fault.Key)
	}
	require.ElementsMatch(t, []string{"VM/Nmae", "VM/Name", "VM/CallerAddress", "Limits/MaxCalls", "Extra/"}, got)
}

func TestParseRejectsLargeLeaseMargin(t *testing.T) {
	content := strings.Replace(settings.Example(), ";LeaseMargin = 2s", "LeaseMargin = 5s", 1)
	_, err := settings.Parse("bad", []byte(content))
	var invalid *settings.InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Faults, 1)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(settings.Example()))
	f.Add([]byte("[VM]\nName"))
	f.Add([]byte{0xff, 0xfe, '['})
	f.Fuzz(func(t *testing.T, content []byte) {
		if _, err := settings.Parse("fuzz", content); err == nil {
			return
		} else {
			var invalid *settings.InvalidError
			var readErr *settings.ReadError
			require.True(t, asEither(err, &invalid, &readErr))
		}
	})
}

// asEither reports whether err is an InvalidError or a ReadError.
func asEither(err error, invalid **settings.InvalidError, readErr **settings.ReadError) bool {
	return errors.As(err, invalid) || errors.As(err, readErr)
}
