package outbound_test

import (
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
)

// The request of a response that broke off must not be taken for one that was not sent, which may be sent again.
func TestUnconfirmedEndIsNotTakenForUnsentRequest(t *testing.T) {
	p := outbound.NewPool(clockwork.NewRealClock())
	_, err := io.ReadAll(newUnframedEndpoint(t, true).send(t, p, "/"))
	require.Error(t, err)
	var notSent *endpoint.NotSentError
	require.NotErrorAs(t, err, &notSent)
}
