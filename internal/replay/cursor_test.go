package replay_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
	"github.com/cowsliparch/cowsliparch/internal/replay"
)

// testStream is a log that grows while readers follow it.
type testStream struct {
	t       *rapid.T
	records []logservice.Record
	// complete has read every record.
	complete replay.Cursor[configuration.State]
}

func (s *testStream) append(envelope record.Envelope) {
	payload, err := envelope.Encode()
	require.NoError(s.t, err)
	r := logservice.Record{
		Offset:  logservice.Offset(len(s.records) + 1),
		Payload: payload,
	}
	s.records = append(s.records, r)
	s.complete, _ = s.complete.Apply(r)
}

// appendRandom appends a change, a conflicting change, a record of an unknown kind, or a snapshot by a reader that may be
// behind.
func (s *testStream) appendRandom(behind replay.Cursor[configuration.State]) {
	switch rapid.IntRange(0, 3).Draw(s.t, "kind") {
	case 0:
		s.appendUse(s.complete.State().Version())
	case 1:
		s.appendUse(behind.State().Version())
	case 2:
		s.append(record.Envelope{Kind: "Nonsense", ID: fmt.Sprintf("n%d", len(s.records))})
	case 3:
		envelope, ok := behind.State().Snapshot()
		if ok && !behind.HasGap() {
			s.append(envelope)
		}
	}
}

func (s *testStream) appendUse(base logservice.Offset) {
	preset := rapid.SampledFrom([]string{"a", "b"}).Draw(s.t, "preset")
	envelope, err := record.NewWithID(configuration.PresetChangeKind, fmt.Sprintf("u%d", len(s.records)), configuration.PresetChange{
		Base:   base,
		Preset: preset,
	})
	require.NoError(s.t, err)
	s.append(envelope)
}

func newTestStream(t *rapid.T) *testStream {
	s := &testStream{
		t:        t,
		complete: replay.NewCursor(configuration.New()),
	}
	envelope, err := record.NewWithID(configuration.ChangeKind, "first", configuration.Change{
		Document: []byte(`{"Presets":[{"Name":"a"},{"Name":"b"}]}`),
		Preset:   "a",
	})
	require.NoError(t, err)
	s.append(envelope)
	return s
}

// A reader that misses records, reads late or adopts a peer's state must never differ from one that read everything.
func TestReadersWithGapsConverge(t *testing.T) {
	comparisons := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newTestStream(t)
		reader := replay.NewCursor(configuration.New())
		cursors := []replay.Cursor[configuration.State]{replay.NewCursor(configuration.New()), s.complete}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				s.appendRandom(rapid.SampledFrom(cursors).Draw(t, "behind"))
				for len(cursors) <= len(s.records) {
					cursors = append(cursors, s.complete)
				}
			case 2:
				next := int(reader.LastOffset())
				if next < len(s.records) {
					gap := rapid.IntRange(0, min(2, len(s.records)-next-1)).Draw(t, "gap")
					reader, _ = reader.Apply(s.records[next+gap])
				}
			case 3:
				next := int(reader.LastOffset())
				for _, r := range s.records[next:] {
					reader, _ = reader.Apply(r)
				}
			case 4:
				reader, _ = reader.WithState(rapid.SampledFrom(cursors).Draw(t, "peer").State())
			}
			want := cursors[reader.State().LastOffset()].State()
			require.Equal(t, want.Version(), reader.State().Version())
			require.Equal(t, want.Preset().Name, reader.State().Preset().Name)
			if !reader.HasGap() && reader.LastOffset() == s.complete.LastOffset() && len(s.records) > 5 {
				comparisons++
				require.Equal(t, s.complete.State().Version(), reader.State().Version())
			}
		}
	})
	require.Greater(t, comparisons, 100, "too few readers caught up for a meaningful check")
}
