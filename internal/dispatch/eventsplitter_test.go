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
		"CR alone":                 {[]string{"id: 1\rdata: a\r\r", "id: 2\r", "\r"}, []string{"id: 1\rdata: a\r\r", "", "id: 2\r\r"}, "2"},
		"LF after returned event":  {[]string{"id: 1\r\r", "\nid: 2\r", "\n", "\r\n"}, []string{"id: 1\r\r", "\n", "", "id: 2\r\n\r\n"}, "2"},
		"CR LF is one end":         {[]string{"id: 1\r", "\ndata: a\r", "\n\r", "\n"}, []string{"", "", "", "id: 1\r\ndata: a\r\n\r\n"}, "1"},
		"mixed ends":               {[]string{"id: 1\n\r\nid: 2\r\n\nid: 3\r\n\rid: 4"}, []string{"id: 1\n\r\nid: 2\r\n\nid: 3\r\n\r"}, "3"},
		"id without a colon":       {[]string{"id: 1\n\n", "id\n\n"}, []string{"id: 1\n\n", "id\n\n"}, "1"},
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

// Where a stream is cut must not matter to what is in it.
func TestEventSplitterReturnsAllEventsHoweverCut(t *testing.T) {
	for _, separator := range []string{"\n\n", "\r\r", "\r\n\r\n", "\n\r\n", "\r\n\n", "\r\r\n", "\n\r"} {
		content := "id: 1" + separator + ": note" + separator + "id: 2\r\ndata: a" + separator + separator + "data: b\nid: 3" + separator
		for step := 1; step <= len(content); step++ {
			var s eventSplitter
			var out []byte
			for i := 0; i < len(content); i += step {
				complete, err := s.feed([]byte(content[i:min(i+step, len(content))]))
				require.NoError(t, err)
				out = append(out, complete...)
			}
			out = append(out, s.finish()...)
			require.Equal(t, content, string(out), "step %d", step)
			require.Equal(t, "1", s.firstID)
			require.Equal(t, "3", s.lastID)
		}
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
