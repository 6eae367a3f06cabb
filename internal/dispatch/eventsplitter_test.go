package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventSplitterReturnsCompleteEvents(t *testing.T) {
	for name, tt := range map[string]struct {
		chunks []string
		want   []string
		lastID string
	}{
		"one event":                {[]string{"id: 1\ndata: a\n\n"}, []string{"id: 1\ndata: a\n\n"}, "1"},
		"cut in the middle":        {[]string{"id: 1\nda", "ta: a\n\n"}, []string{"", "id: 1\ndata: a\n\n"}, "1"},
		"cut at the end":           {[]string{"id: 1\n", "\n"}, []string{"", "id: 1\n\n"}, "1"},
		"two and a half events":    {[]string{"id: 1\n\nid: 2\n\nid: 3"}, []string{"id: 1\n\nid: 2\n\n"}, "2"},
		"carriage returns":         {[]string{"id: 4\r\ndata: x\r\n\r\n"}, []string{"id: 4\r\ndata: x\r\n\r\n"}, "4"},
		"id after data":            {[]string{"data: a\nid: 5\n\n"}, []string{"data: a\nid: 5\n\n"}, "5"},
		"id inside data only":      {[]string{"data: id: 6\n\n"}, []string{"data: id: 6\n\n"}, ""},
		"no space after the colon": {[]string{"id:7\n\n"}, []string{"id:7\n\n"}, "7"},
		"cut separators":           {[]string{"id: 8\n\r", "\n\r", "\n", "id: 9\n", "\n"}, []string{"", "", "id: 8\n\r\n\r\n", "", "id: 9\n\n"}, "9"},
		"event without an id":      {[]string{"id: 1\n\n", "data: x\n\n"}, []string{"id: 1\n\n", "data: x\n\n"}, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			var s eventSplitter
			for i, data := range tt.chunks {
				complete, err := s.feed([]byte(data))
				require.NoError(t, err)
				require.Equal(t, tt.want[i], string(complete))
			}
			require.Equal(t, tt.lastID, s.lastID)
		})
	}
}

func TestEventSplitterLimitsEventSize(t *testing.T) {
	var s eventSplitter
	_, err := s.feed(make([]byte, maxEventBytes+1))
	var large *EventTooLargeError
	require.ErrorAs(t, err, &large)
}

// Splitting one event of the largest size must take time in proportion to it, however small its chunks are.
func BenchmarkEventSplitter(b *testing.B) {
	chunk := make([]byte, chunkBytes)
	for b.Loop() {
		var s eventSplitter
		for range maxEventBytes / chunkBytes {
			_, _ = s.feed(chunk)
		}
	}
}

func FuzzEventSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, content []byte, cut int) {
		var s eventSplitter
		var out []byte
		step := max(cut%7, 1)
		for i := 0; i < len(content); i += step {
			complete, err := s.feed(content[i:min(i+step, len(content))])
			require.NoError(t, err)
			out = append(out, complete...)
		}
		require.Equal(t, string(content), string(append(out, s.pending...)))
	})
}
