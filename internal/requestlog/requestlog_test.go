package requestlog_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/requestlog"
)

const logs = `  1.5 vm-2 {"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"CallRefused","VM":"vm-2","Event":1902,"Request":"q1","Model":"m1","TookMS":60}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"SendFailed","VM":"vm-1","Event":1911,"Request":"q1","Runner":"r1"}
{"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"RunnerChanged","VM":"vm-1","Event":2002,"Runner":"r1"}
{"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"RunnerChanged","VM":"vm-3","Event":2002,"Runner":"r1"}
{"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"RunnerChanged","VM":"vm-1","Event":2002,"Runner":"r2"}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"OrderDone","VM":"vm-3","Event":3204,"Runner":"r9","Model":"m1","Held":false}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"LinkDown","VM":"vm-2","Event":1604}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"CallAnswered","VM":"vm-2","Event":1901,"Request":"q2","Model":"m1"}
{"time":"2026-01-01T00:00:09Z","level":"INFO","msg":"OrderDone","VM":"vm-3","Event":3204,"Runner":"r9","Model":"m1","Held":true}
{"time":"2025-12-31T23:59:50Z","level":"INFO","msg":"LinkUp","VM":"vm-2","Event":1603}

not a line
{"msg":"no time"}
`

func TestTellSelectsLinesOfARequest(t *testing.T) {
	lines, unreadable, err := requestlog.Read(strings.NewReader(logs))
	require.NoError(t, err)
	require.Equal(t, 2, unreadable)
	var got []string
	for _, line := range requestlog.Related(lines, "q1") {
		got = append(got, line.VM+" "+line.Event)
	}
	require.Equal(t, []string{"vm-1 RunnerChanged", "vm-1 SendFailed", "vm-3 OrderDone", "vm-2 LinkDown", "vm-2 CallRefused"}, got)
	require.Empty(t, requestlog.Related(lines, "q3"))
}

func TestReadFailsOnTooLongLine(t *testing.T) {
	_, _, err := requestlog.Read(strings.NewReader(strings.Repeat("x", 2<<20)))
	require.Error(t, err)
}
