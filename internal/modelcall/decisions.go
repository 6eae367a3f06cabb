package modelcall

import (
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const maxDecisions = 4096

// Decision records where a call was sent, or why it was refused.
type Decision struct {
	At        time.Time
	RequestID string
	Caller    string
	Model     string
	Class     string
	// Target is the endpoint or failure domain chosen, or the best candidate if the call was refused.
	Target string
	// Predicted is the expected time to the first token.
	Predicted time.Duration
	// TimeLeft is the time that was left until the first token was due.
	TimeLeft time.Duration
	Refused  refusal.Code
}

// Decisions keeps the latest decisions of this VM in a ring buffer.
type Decisions struct {
	mu   sync.Mutex
	ring [maxDecisions]Decision
	next int
	full bool
}

// NewDecisions returns a Decisions without entries.
func NewDecisions() *Decisions { return &Decisions{} }

func (d *Decisions) add(now time.Time, call Call, to string, predicted time.Duration, refused *refusal.Refusal) {
	decision := Decision{
		At:        now,
		RequestID: call.RequestID,
		Caller:    call.Caller,
		Model:     call.Name,
		Class:     string(call.Model.Class),
		Target:    to,
		Predicted: predicted,
		TimeLeft:  call.Deadline().Sub(now),
	}
	if refused != nil {
		decision.Refused = refused.Code
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ring[d.next] = decision
	d.next = (d.next + 1) % maxDecisions
	d.full = d.full || d.next == 0
}

// Last returns up to limit decisions for which match returns true, newest first.
func (d *Decisions) Last(limit int, match func(Decision) bool) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.next
	if d.full {
		n = maxDecisions
	}
	var matched []Decision
	for i := 1; i <= n && len(matched) < limit; i++ {
		decision := d.ring[(d.next-i+maxDecisions)%maxDecisions]
		if match(decision) {
			matched = append(matched, decision)
		}
	}
	return matched
}
