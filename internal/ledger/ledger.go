package ledger

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// maxMoves limits the orders kept to be shown to operators.
const maxMoves = 256

// Ledger is the immutable record of all orders of a failure domain.
type Ledger struct {
	endpoints *immutable.Map[string, EndpointOrders]
	// openEndpoints maps the ID of each open intent to its endpoint.
	openEndpoints *immutable.Map[string, string]
	moves         []Move
}

// Move is an order as shown to operators; Settled is empty while it is open.
type Move struct {
	At      time.Time
	Intent  Intent
	Settled Reason
}

// New returns an empty ledger.
func New() Ledger {
	return Ledger{
		endpoints:     immutable.NewMap[string, EndpointOrders](nil),
		openEndpoints: immutable.NewMap[string, string](nil),
	}
}

// FromEndpointOrders returns a ledger with the given order histories.
func FromEndpointOrders(histories []EndpointOrders) Ledger {
	l := New()
	for _, orders := range histories {
		l.endpoints = l.endpoints.Set(orders.Endpoint, orders)
		for _, o := range orders.Open {
			l.openEndpoints = l.openEndpoints.Set(o.Intent.ID, orders.Endpoint)
		}
	}
	return l
}

// EndpointOrders returns the order history of every endpoint that has had an order.
func (l Ledger) EndpointOrders() []EndpointOrders {
	out := make([]EndpointOrders, 0, l.endpoints.Len())
	for itr := l.endpoints.Iterator(); !itr.Done(); {
		_, orders, _ := itr.Next()
		out = append(out, orders)
	}
	return out
}

// Last returns the offset of the last intent for an endpoint, which a new intent must name as its base.
func (l Ledger) Last(endpoint string) logservice.Offset { return l.forEndpoint(endpoint).Last }

// Open returns the open intents for an endpoint, oldest first.
func (l Ledger) Open(endpoint string) []OpenOrder { return l.forEndpoint(endpoint).Open }

// IsOpen reports whether an intent is recorded and not settled.
func (l Ledger) IsOpen(id string) bool {
	_, ok := l.openEndpoints.Get(id)
	return ok
}

// Moves returns the most recent orders, oldest first.
func (l Ledger) Moves() []Move { return l.moves }

// WithIntent returns the ledger with an intent opened, or StaleError or BusyError if the intent is void.
func (l Ledger) WithIntent(id string, intent Intent, offset logservice.Offset, at time.Time) (Ledger, error) {
	intent.ID = id
	orders := l.forEndpoint(intent.Endpoint)
	if orders.Last != intent.Base {
		return l, &StaleError{Endpoint: intent.Endpoint, Base: intent.Base, Last: orders.Last}
	}
	if slices.ContainsFunc(orders.Open, func(o OpenOrder) bool { return o.Intent.ReplicaKey() == intent.ReplicaKey() }) {
		return l, &BusyError{Replica: intent.ReplicaKey()}
	}
	orders.Last = offset
	l.endpoints = l.endpoints.Set(intent.Endpoint, orders.withOpen(OpenOrder{
		Intent: intent,
		Offset: offset,
		At:     at,
	}))
	l.openEndpoints = l.openEndpoints.Set(id, intent.Endpoint)
	return l.withMove(Move{
		At:     at,
		Intent: intent,
	}), nil
}

// WithAbandonment returns the ledger with an intent marked as abandoned by its sender; it stays open.
func (l Ledger) WithAbandonment(a Abandonment) (Ledger, error) {
	orders, i, err := l.findOpen(a.Intent)
	if err != nil {
		return l, err
	}
	l.endpoints = l.endpoints.Set(orders.Endpoint, orders.withAbandonment(i))
	return l, nil
}

// WithSettlement returns the ledger with an intent closed.
func (l Ledger) WithSettlement(s Settlement) (Ledger, error) {
	orders, i, err := l.findOpen(s.Intent)
	if err != nil {
		return l, err
	}
	l.openEndpoints = l.openEndpoints.Delete(s.Intent)
	l.endpoints = l.endpoints.Set(orders.Endpoint, orders.withSettlement(i, s))
	moves := slices.Clone(l.moves)
	for i := range moves {
		if moves[i].Intent.ID == s.Intent {
			moves[i].Settled = s.Reason
		}
	}
	l.moves = moves
	return l, nil
}

// forEndpoint returns the order history of an endpoint, empty if it has had no orders.
func (l Ledger) forEndpoint(endpoint string) EndpointOrders {
	orders, ok := l.endpoints.Get(endpoint)
	if !ok {
		orders.Endpoint = endpoint
	}
	return orders
}

// findOpen returns the order history that has an open intent and the intent's index in it, or UnknownIntentError.
func (l Ledger) findOpen(intent string) (EndpointOrders, int, error) {
	endpoint, ok := l.openEndpoints.Get(intent)
	if !ok {
		return EndpointOrders{}, 0, &UnknownIntentError{Intent: intent}
	}
	orders := l.forEndpoint(endpoint)
	return orders, orders.openIndex(intent), nil
}

func (l Ledger) withMove(m Move) Ledger {
	l.moves = append(slices.Clip(l.moves), m)
	if len(l.moves) > maxMoves {
		l.moves = l.moves[len(l.moves)-maxMoves:]
	}
	return l
}
