package plaincall

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

var errReset = errors.New("connection reset")

func relay(body io.Reader) (*httptest.ResponseRecorder, *refusal.Refusal) {
	h := &Handler{}
	h.Clock = clockwork.NewFakeClock()
	w := httptest.NewRecorder()
	return w, h.relay(w, &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Own": {"kept"}},
		Body:       io.NopCloser(body),
	})
}

// A response that breaks off before its first byte gets an error response in place of a closed connection.
func TestResponseWithoutBodyBytesIsAnswered(t *testing.T) {
	w, refused := relay(iotest.ErrReader(errReset))
	require.Equal(t, http.StatusBadGateway, refused.Status)
	require.Equal(t, refusal.Unknown, refused.Ran)
	require.Empty(t, w.Header())
}

// A response that breaks off after a part was sent must not look complete.
func TestResponseThatBreaksOffIsAborted(t *testing.T) {
	require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() {
		_, _ = relay(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errReset)))
	})
}

func TestResponseIsRelayedWhole(t *testing.T) {
	for _, body := range []string{"", "whole"} {
		w, refused := relay(strings.NewReader(body))
		require.Nil(t, refused)
		require.Equal(t, body, w.Body.String())
		require.Equal(t, "kept", w.Header().Get("Own"))
	}
}
