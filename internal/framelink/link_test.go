package framelink_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/framelink"
)

// A closed link must not accept frames: its user would take them for sent.
func TestClosedLinkAcceptsNoFrames(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, link, ok := framelink.Accept[string](w, r, new(atomic.Uint64))
		if ok {
			_, _ = link.Read(ctx)
		}
	}))
	defer server.Close()
	socket, _, err := websocket.Dial(t.Context(), server.URL, nil)
	require.NoError(t, err)
	_, link := framelink.New[string](t.Context(), socket, new(atomic.Uint64))
	require.True(t, link.TrySend("a"))
	link.Close()
	for range 100 {
		require.False(t, link.TrySend("b"))
		var closed *framelink.ClosedError
		require.ErrorAs(t, link.Send(t.Context(), "c"), &closed)
	}
}
