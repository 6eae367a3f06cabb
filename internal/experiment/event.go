package experiment

import "time"

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64
	f     func()
}

// eventQueue is a heap by time, and by order of entry for equal times.
type eventQueue struct {
	events []*event
	count  uint64
}

func (q *eventQueue) next() uint64 {
	q.count++
	return q.count
}

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	if q.events[i].at != q.events[j].at {
		return q.events[i].at < q.events[j].at
	}
	return q.events[i].order < q.events[j].order
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
