package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	eventStream = "text/event-stream"
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

// respondTyped replies with a response of a content type and without a stated length, which breaks off if end is an error other than
// io.EOF.
func respondTyped(status int, contentType string, end error, chunks ...string) reply {
	return func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		header := http.Header{"Signature": {"s"}}
		if contentType != "" {
			header.Set("Content-Type", contentType)
		}
		return &dispatch.Response{
			Status: status,
			Header: header,
			Length: -1,
			Body:   &chunkReader{chunks: chunks, end: end},
		}, nil
	}
}

// unusableContinuations are responses of the next runner that don't continue a stream after event 2.
var unusableContinuations = map[string]reply{
	"500":                         respondTyped(http.StatusInternalServerError, "text/plain", nil, "boom\n\n"),
	"500 as events":               respondTyped(http.StatusInternalServerError, eventStream, nil, "id: 3\ndata: error\n\n"),
	"503 without a statement":     respondTyped(http.StatusServiceUnavailable, "text/plain", nil, "busy\n\n"),
	"503 declined":                decline(http.StatusServiceUnavailable),
	"421 declined":                decline(http.StatusMisdirectedRequest),
	"404":                         respondTyped(http.StatusNotFound, "text/plain", nil, "no such path\n\n"),
	"400":                         respondTyped(http.StatusBadRequest, "application/json", nil, "{\"error\":1}\n\n"),
	"302":                         respondTyped(http.StatusFound, "text/html", nil, "<a>moved</a>\n\n"),
	"204":                         respondTyped(http.StatusNoContent, "", nil),
	"200 with JSON":               respondTyped(http.StatusOK, "application/json", nil, "{\"error\":\"x\"}\n\n{}\n\n"),
	"200 with text":               respondTyped(http.StatusOK, "text/plain; charset=utf-8", nil, "error\n\n"),
	"200 without a type":          respondTyped(http.StatusOK, "", nil, "error\n\n"),
	"200 with a head in its body": respondTyped(http.StatusOK, "text/plain", nil, "HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nboom"),
	"200 without an event":        respondTyped(http.StatusOK, eventStream, nil),
	"200 with blank lines only":   respondTyped(http.StatusOK, eventStream, nil, "\n\n\n\n"),
	"200 with the last event":     respondTyped(http.StatusOK, eventStream, nil, "id: 2\ndata: b\n\n"),
	"200 from the start":          respondTyped(http.StatusOK, eventStream, nil, "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"),
}

// A stream that broke off must not go on with anything but the events after the last one, nor look complete without them.
func TestErrorInPlaceOfContinuationIsNotPassedOn(t *testing.T) {
	for name, next := range unusableContinuations {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, respondTyped(http.StatusOK, eventStream, io.ErrUnexpectedEOF, firstEvents, "id: 3\nda"), next)
			h.serve(t, "/stream/")
			require.Equal(t, 2, h.sender.count())
			require.Equal(t, "2", h.sender.attempts[1].ResumeAfter)
			require.Equal(t, firstEvents, h.caller.body)
			require.True(t, h.caller.aborted, "the stream must not look complete")
			require.Nil(t, h.caller.refused)
		})
	}
}

// Where a third runner may be tried, a useless answer of the second does not end the stream.
func TestStreamGoesOnAfterErrorOfNextRunner(t *testing.T) {
	for _, name := range []string{"500", "503 without a statement", "503 declined", "421 declined"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t,
				respondTyped(http.StatusOK, eventStream, io.ErrUnexpectedEOF, firstEvents),
				unusableContinuations[name],
				respondTyped(http.StatusOK, eventStream, nil, "id: 3\ndata: c\n\n"),
			)
			h.roster.Apply([]roster.Change{runner("m3", "models", "b")}, h.clock.Now())
			h.catalog = catalog.New(8, catalog.Limits{}, []catalog.Route{route("/stream/", catalog.Streaming, true, 3)},
				[]catalog.Service{{Name: "models", Engine: &catalog.Engine{}}})
			h.serve(t, "/stream/")
			require.Equal(t, firstEvents+"id: 3\ndata: c\n\n", h.caller.body)
			require.False(t, h.caller.aborted)
		})
	}
}

// A sound continuation is passed on as it is, whatever its first event's ID exceeds the last one by.
func TestSoundContinuationIsPassedOn(t *testing.T) {
	for i, continuation := range []string{"id: 3\ndata: c\n\n", "id: 10\ndata: c\n\n", "id: 3\r\ndata: c\r\n\r\n", ": note\n\nid: 3\ndata: c\n\n"} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			h := newHarness(t, respondTyped(http.StatusOK, eventStream, io.ErrUnexpectedEOF, firstEvents),
				respondTyped(http.StatusOK, eventStream, nil, continuation))
			h.serve(t, "/stream/")
			require.Equal(t, firstEvents+continuation, h.caller.body)
			require.False(t, h.caller.aborted)
		})
	}
}
