package dispatch_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A stream must not go on with events that the caller has, however its IDs are written or left out.
func TestContinuationThatMayRepeatEventsIsNotPassedOn(t *testing.T) {
	for name, tt := range map[string]struct {
		before string
		next   []string
		// wrong is a part of next that must not follow what the caller has.
		wrong string
	}{
		"block without an event, then from the start": {firstEvents, []string{"retry: 100\n\n", firstEvents}, "data: b\n"},
		"event without an ID, then from the start":    {firstEvents, []string{"data: x\n\n", firstEvents}, "data: b\n"},
		"events without IDs":                          {"data: a\n\n", []string{"data: a\n\n", "data: b\n\n"}, "data: a\n"},
		"last event without an ID":                    {"id: 1\ndata: a\n\ndata: b\n\n", []string{"data: b\n\n", "id: 3\ndata: c\n\n"}, "data: b\n"},
		"last event with an empty ID":                 {"id: 1\ndata: a\n\nid:\ndata: b\n\n", []string{"id:\ndata: b\n\n"}, "data: b\n"},
		"same ID that is no number":                   {"id: x1\ndata: a\n\n", []string{"id: x1\ndata: a\n\n"}, "data: a\n"},
		"byte order mark":                             {"\ufeffid: 1\ndata: a\n\n", []string{"\ufeffid: 1\ndata: a\n\n"}, "data: a\n"},
		"lower ID beyond the range of int64":          {"id: 18446744073709551615\ndata: a\n\n", []string{"id: 18446744073709551614\ndata: z\n\n"}, "data: z\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t,
				respondTyped(http.StatusOK, eventStream, io.ErrUnexpectedEOF, tt.before),
				respondTyped(http.StatusOK, eventStream, nil, tt.next...))
			h.serve(t, "/stream/")
			after, ok := strings.CutPrefix(h.caller.body, tt.before)
			require.True(t, ok)
			require.NotContains(t, after, tt.wrong)
			require.True(t, h.caller.aborted)
		})
	}
}

// Lines of a stream may end in CR alone, and in different ways.
func TestEventsEndWithAnyEmptyLine(t *testing.T) {
	for _, body := range []string{"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", "id: 1\ndata: a\n\r\n", "id: 1\r\ndata: a\r\n\n", "id: 1\r\ndata: a\r\n\r\n"} {
		for _, split := range []int{len(body), len(body) - 1, len(body) - 2, len(body) - 3} {
			t.Run(fmt.Sprintf("%q after %d bytes", body, split), func(t *testing.T) {
				h := newHarness(t, respondTyped(http.StatusOK, eventStream, nil, body[:split], body[split:]))
				h.serve(t, "/stream/")
				require.Equal(t, body, h.caller.body)
				require.False(t, h.caller.aborted)
			})
		}
	}
}

// A stream that is whole may have blank lines after its last event.
func TestBlankLinesAfterLastEventAreNoBreak(t *testing.T) {
	h := newHarness(t, respondTyped(http.StatusOK, eventStream, nil, firstEvents, "\n"))
	h.serve(t, "/stream/")
	require.Equal(t, 1, h.sender.count())
	require.False(t, h.caller.aborted)
}

// A byte order mark begins no event, and is not repeated where a stream goes on.
func TestByteOrderMarkIsPassedOnOnce(t *testing.T) {
	const mark = "\ufeff"
	for name, tt := range map[string]struct {
		first []string
		next  []string
		want  string
	}{
		"whole":             {[]string{mark + firstEvents}, []string{mark + "id: 3\ndata: c\n\n"}, mark + firstEvents + "id: 3\ndata: c\n\n"},
		"in parts":          {[]string{mark[:1], mark[1:2], mark[2:], firstEvents}, []string{mark[:2], mark[2:] + "id: 3\n\n"}, mark + firstEvents + "id: 3\n\n"},
		"comment after it":  {[]string{mark + ": note\n\n", firstEvents}, []string{mark + ": note\n\n", "id: 3\n\n"}, mark + ": note\n\n" + firstEvents + ": note\n\nid: 3\n\n"},
		"empty line after":  {[]string{mark + "\n", firstEvents}, []string{mark + "\r\n", "id: 3\n\n"}, mark + "\n" + firstEvents + "\r\nid: 3\n\n"},
		"only in the first": {[]string{mark + firstEvents}, []string{"id: 3\n\n"}, mark + firstEvents + "id: 3\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t,
				respondTyped(http.StatusOK, eventStream, io.ErrUnexpectedEOF, tt.first...),
				respondTyped(http.StatusOK, eventStream, nil, tt.next...))
			h.serve(t, "/stream/")
			require.Equal(t, "2", h.sender.attempts[1].ResumeAfter)
			require.Equal(t, tt.want, h.caller.body)
			require.False(t, h.caller.aborted)
		})
	}
}
