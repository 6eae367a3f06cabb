package modelcall

import (
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const keptDecisions = 4096

// Decision explains where a call was sent, or why it was refused.
type Decision struct {
	At        time.Time
	RequestID string
	Caller    string
	Model     string
	Class     string
	// To is the endpoint or failure domain chosen, or the best one if the call was refused.
	To        string
	Predicted time.Duration
	Due       time.Duration
	Refused   refusal.Code
}

// Decisions keeps the last decisions of this VM.
type Decisions struct {
	mu   sync.Mutex
	ring [keptDecisions]Decision
	next int
	full bool
}

// NewDecisions returns an empty ring.
func NewDecisions() *Decisions { return &Decisions{} }

func (d *Decisions) add(now time.Time, call Call, to string, predicted time.Duration, refused *refusal.Refusal) {
	decision := Decision{
		At:        now,
		RequestID: call.RequestID,
		Caller:    call.Caller,
		Model:     call.Name,
		Class:     string(call.Model.Class),
		To:        to,
		Predicted: predicted,
		Due:       call.Deadline().Sub(now),
	}
	if refused != nil {
		decision.Refused = refused.Code
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ring[d.next] = decision
	d.next = (d.next + 1) % keptDecisions
	d.full = d.full || d.next == 0
}

// Last returns the newest decisions for which match holds, newest first.
func (d *Decisions) Last(most int, match func(Decision) bool) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.next
	if d.full {
		n = keptDecisions
	}
	var out []Decision
	for i := 1; i <= n && len(out) < most; i++ {
		decision := d.ring[(d.next-i+keptDecisions)%keptDecisions]
		if match(decision) {
			out = append(out, decision)
		}
	}
	return out
}
