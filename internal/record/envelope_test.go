package record_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/record"
)

func FuzzDecode(f *testing.F) {
	valid, err := record.NewWithID("Change", "id", map[string]int{"A": 1})
	require.NoError(f, err)
	payload, err := valid.Encode()
	require.NoError(f, err)
	f.Add(payload)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, payload []byte) {
		envelope, err := record.Decode(payload)
		if err != nil {
			var malformed *record.MalformedError
			require.ErrorAs(t, err, &malformed)
			return
		}
		reencoded, err := envelope.Encode()
		require.NoError(t, err)
		_, err = record.Decode(reencoded)
		require.NoError(t, err)
	})
}

func TestDecodeRejectsOversizedPayload(t *testing.T) {
	_, err := record.Decode(make([]byte, record.MaxBytes+1))
	var malformed *record.MalformedError
	require.ErrorAs(t, err, &malformed)
}
