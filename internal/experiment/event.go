package experiment

import "time"

// event is a function scheduled to run at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue is a heap of events ordered by time; events at equal times run in the order they were scheduled.
type eventQueue struct {
	events       []*event
	lastSequence uint64
}

func (q *eventQueue) nextSequence() uint64 {
	q.lastSequence++
	return q.lastSequence
}

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	if q.events[i].at != q.events[j].at {
		return q.events[i].at < q.events[j].at
	}
	return q.events[i].sequence < q.events[j].sequence
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}
