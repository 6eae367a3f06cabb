package ledger

// Reason is why an order can have no further effect.
type Reason string

// The reasons.
const (
	// Answered means that the engine confirmed the order in its response.
	Answered Reason = "Answered"
	// Refused means that the engine responded that it did not carry out the order.
	Refused Reason = "Refused"
	// NeverSent means that the sender gave up before any byte of the order was sent.
	NeverSent Reason = "NeverSent"
	// Seen means that a later report shows the only effect that the order can have.
	Seen Reason = "Seen"
	// Fenced means that the engine has accepted a higher fencing token, which it keeps across restarts.
	Fenced Reason = "Fenced"
	// Expired means that the network's delivery bound has passed since the sender abandoned the order or was gone.
	Expired Reason = "Expired"
)

// Settlement closes an intent.
type Settlement struct {
	Intent string
	Reason Reason
	// Incarnation and Sequence are those of the engine's response or of the report that settles the order.
	Incarnation string
	Sequence    uint64
}

// Abandonment records that a sender got no response to an order and will never send it again.
type Abandonment struct {
	Intent string
}
