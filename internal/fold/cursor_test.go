package fold_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/fold"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// stream is a log being written while readers come and go.
type stream struct {
	t       *rapid.T
	records []logservice.Record
	// full has read every record.
	full fold.Cursor[configuration.State]
}

func (s *stream) add(envelope record.Envelope) {
	payload, err := envelope.Encode()
	require.NoError(s.t, err)
	r := logservice.Record{
		Offset:  logservice.Offset(len(s.records) + 1),
		Payload: payload,
	}
	s.records = append(s.records, r)
	s.full, _ = s.full.With(r)
}

// grow appends a change, a racing change, a record that is no record, or a snapshot by a reader that may be behind.
func (s *stream) grow(behind fold.Cursor[configuration.State]) {
	switch rapid.IntRange(0, 3).Draw(s.t, "kind") {
	case 0:
		s.use(s.full.State().Version())
	case 1:
		s.use(behind.State().Version())
	case 2:
		s.add(record.Envelope{Kind: "Nonsense", ID: fmt.Sprintf("n%d", len(s.records))})
	case 3:
		envelope, ok := behind.State().Snapshot()
		if ok && !behind.Missed() {
			s.add(envelope)
		}
	}
}

func (s *stream) use(base logservice.Offset) {
	preset := rapid.SampledFrom([]string{"a", "b"}).Draw(s.t, "preset")
	envelope, err := record.NewWithID(configuration.UseKind, fmt.Sprintf("u%d", len(s.records)), configuration.Use{
		Base:   base,
		Preset: preset,
	})
	require.NoError(s.t, err)
	s.add(envelope)
}

func newStream(t *rapid.T) *stream {
	s := &stream{
		t:    t,
		full: fold.NewCursor(configuration.New()),
	}
	envelope, err := record.NewWithID(configuration.ChangeKind, "first", configuration.Change{
		Document: []byte(`{"Presets":[{"Name":"a"},{"Name":"b"}]}`),
		Preset:   "a",
	})
	require.NoError(t, err)
	s.add(envelope)
	return s
}

// A reader that misses records, reads late or takes over a peer's state never differs from one that read everything.
func TestReadersWithGapsAgree(t *testing.T) {
	caughtUp := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newStream(t)
		reader := fold.NewCursor(configuration.New())
		prefix := []fold.Cursor[configuration.State]{fold.NewCursor(configuration.New()), s.full}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				s.grow(rapid.SampledFrom(prefix).Draw(t, "behind"))
				for len(prefix) <= len(s.records) {
					prefix = append(prefix, s.full)
				}
			case 2:
				next := int(reader.Through())
				if next < len(s.records) {
					gap := rapid.IntRange(0, min(2, len(s.records)-next-1)).Draw(t, "gap")
					reader, _ = reader.With(s.records[next+gap])
				}
			case 3:
				next := int(reader.Through())
				for _, r := range s.records[next:] {
					reader, _ = reader.With(r)
				}
			case 4:
				reader, _ = reader.WithState(rapid.SampledFrom(prefix).Draw(t, "peer").State())
			}
			want := prefix[reader.State().Through()].State()
			require.Equal(t, want.Version(), reader.State().Version())
			require.Equal(t, want.Preset().Name, reader.State().Preset().Name)
			if !reader.Missed() && reader.Through() == s.full.Through() && len(s.records) > 5 {
				caughtUp++
				require.Equal(t, s.full.State().Version(), reader.State().Version())
			}
		}
	})
	require.Greater(t, caughtUp, 100, "too few readers caught up for the check to mean anything")
}
