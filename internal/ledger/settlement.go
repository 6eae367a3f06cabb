package ledger

// Reason tells why an order can have no further effect.
type Reason string

// The reasons.
const (
	// Answered means that the engine's own answer to the order was received.
	Answered Reason = "Answered"
	// Refused means that the engine declined the order in its answer.
	Refused Reason = "Refused"
	// NeverSent means that the sender gave the order up before any of it left.
	NeverSent Reason = "NeverSent"
	// Seen means that a later report shows the one possible effect of the order.
	Seen Reason = "Seen"
	// Fenced means that the engine has accepted a higher fencing number, which it keeps over restarts.
	Fenced Reason = "Fenced"
	// Expired means that the network's delivery bound has passed since the sender gave the order up or was gone.
	Expired Reason = "Expired"
)

// Settlement ends an intent.
type Settlement struct {
	Intent string
	Reason Reason
	// Incarnation and Sequence are those of the engine's answer or of the report that settles the order.
	Incarnation string
	Sequence    uint64
}

// Abandonment records that a sender will do nothing more about an unanswered order.
type Abandonment struct {
	Intent string
}
