package ledger

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

const keptMoves = 256

// Ledger is the immutable account of every order of a failure domain.
type Ledger struct {
	books *immutable.Map[string, Book]
	// open names the endpoint of each open intent.
	open  *immutable.Map[string, string]
	moves []Move
}

// Move is an order as it is explained to people.
type Move struct {
	At      time.Time
	Intent  Intent
	Settled Reason
}

// New returns an empty ledger.
func New() Ledger {
	return Ledger{
		books: immutable.NewMap[string, Book](nil),
		open:  immutable.NewMap[string, string](nil),
	}
}

// FromBooks returns the ledger of the given books.
func FromBooks(books []Book) Ledger {
	l := New()
	for _, book := range books {
		l.books = l.books.Set(book.Endpoint, book)
		for _, o := range book.Open {
			l.open = l.open.Set(o.Intent.ID, book.Endpoint)
		}
	}
	return l
}

// Books returns the account of every endpoint that ever had an order.
func (l Ledger) Books() []Book {
	out := make([]Book, 0, l.books.Len())
	for itr := l.books.Iterator(); !itr.Done(); {
		_, book, _ := itr.Next()
		out = append(out, book)
	}
	return out
}

// Last returns the offset of the last intent for an endpoint, which a new intent must name as its base.
func (l Ledger) Last(endpoint string) logservice.Offset { return l.book(endpoint).Last }

// Open returns the open intents for an endpoint, oldest first.
func (l Ledger) Open(endpoint string) []Open { return l.book(endpoint).Open }

// IsOpen reports whether an intent is recorded and not settled.
func (l Ledger) IsOpen(id string) bool {
	_, ok := l.open.Get(id)
	return ok
}

// Moves returns the newest orders, oldest first.
func (l Ledger) Moves() []Move { return l.moves }

// WithIntent returns the ledger with an intent opened; a StaleError or BusyError says why it is void instead.
func (l Ledger) WithIntent(id string, intent Intent, offset logservice.Offset, at time.Time) (Ledger, error) {
	intent.ID = id
	book := l.book(intent.Endpoint)
	if book.Last != intent.Base {
		return l, &StaleError{Endpoint: intent.Endpoint, Base: intent.Base, Last: book.Last}
	}
	if slices.ContainsFunc(book.Open, func(o Open) bool { return o.Intent.Place() == intent.Place() }) {
		return l, &BusyError{Place: intent.Place()}
	}
	book.Last = offset
	l.books = l.books.Set(intent.Endpoint, book.withOpen(Open{
		Intent: intent,
		Offset: offset,
		At:     at,
	}))
	l.open = l.open.Set(id, intent.Endpoint)
	return l.withMove(Move{
		At:     at,
		Intent: intent,
	}), nil
}

// WithAbandonment returns the ledger with an intent marked as given up by its sender; it stays open.
func (l Ledger) WithAbandonment(a Abandonment) (Ledger, error) {
	book, i, err := l.find(a.Intent)
	if err != nil {
		return l, err
	}
	l.books = l.books.Set(book.Endpoint, book.withAbandonment(i))
	return l, nil
}

// WithSettlement returns the ledger with an intent closed.
func (l Ledger) WithSettlement(s Settlement) (Ledger, error) {
	book, i, err := l.find(s.Intent)
	if err != nil {
		return l, err
	}
	l.open = l.open.Delete(s.Intent)
	l.books = l.books.Set(book.Endpoint, book.withSettlement(i, s))
	moves := slices.Clone(l.moves)
	for i := range moves {
		if moves[i].Intent.ID == s.Intent {
			moves[i].Settled = s.Reason
		}
	}
	l.moves = moves
	return l, nil
}

func (l Ledger) book(endpoint string) Book {
	book, ok := l.books.Get(endpoint)
	if !ok {
		book.Endpoint = endpoint
	}
	return book
}

func (l Ledger) find(intent string) (Book, int, error) {
	endpoint, ok := l.open.Get(intent)
	if !ok {
		return Book{}, 0, &UnknownIntentError{Intent: intent}
	}
	book := l.book(endpoint)
	return book, book.find(intent), nil
}

func (l Ledger) withMove(m Move) Ledger {
	l.moves = append(slices.Clip(l.moves), m)
	if len(l.moves) > keptMoves {
		l.moves = l.moves[len(l.moves)-keptMoves:]
	}
	return l
}
