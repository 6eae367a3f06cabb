package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFramerPassesWholeEventsOnly(t *testing.T) {
	for name, tt := range map[string]struct {
		pieces []string
		want   []string
		last   string
	}{
		"one event":           {[]string{"id: 1\ndata: a\n\n"}, []string{"id: 1\ndata: a\n\n"}, "1"},
		"cut in the middle":   {[]string{"id: 1\nda", "ta: a\n\n"}, []string{"", "id: 1\ndata: a\n\n"}, "1"},
		"cut at the end":      {[]string{"id: 1\n", "\n"}, []string{"", "id: 1\n\n"}, "1"},
		"two and a half":      {[]string{"id: 1\n\nid: 2\n\nid: 3"}, []string{"id: 1\n\nid: 2\n\n"}, "2"},
		"carriage returns":    {[]string{"id: 4\r\ndata: x\r\n\r\n"}, []string{"id: 4\r\ndata: x\r\n\r\n"}, "4"},
		"id after data":       {[]string{"data: a\nid: 5\n\n"}, []string{"data: a\nid: 5\n\n"}, "5"},
		"id in data only":     {[]string{"data: id: 6\n\n"}, []string{"data: id: 6\n\n"}, ""},
		"no blank":            {[]string{"id:7\n\n"}, []string{"id:7\n\n"}, "7"},
		"event without an id": {[]string{"id: 1\n\n", "data: x\n\n"}, []string{"id: 1\n\n", "data: x\n\n"}, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			var f framer
			for i, piece := range tt.pieces {
				whole, err := f.take([]byte(piece))
				require.NoError(t, err)
				require.Equal(t, tt.want[i], string(whole))
			}
			require.Equal(t, tt.last, f.last)
		})
	}
}

func TestFramerBoundsAnEvent(t *testing.T) {
	var f framer
	_, err := f.take(make([]byte, maxEventBytes+1))
	var large *EventTooLargeError
	require.ErrorAs(t, err, &large)
}

func FuzzFramer(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, content []byte, cut int) {
		var fr framer
		var out []byte
		step := max(cut%7, 1)
		for at := 0; at < len(content); at += step {
			whole, err := fr.take(content[at:min(at+step, len(content))])
			require.NoError(t, err)
			out = append(out, whole...)
		}
		require.Equal(t, content, append(out, fr.pending...))
	})
}
