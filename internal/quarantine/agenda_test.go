package quarantine_test

import (
	"container/heap"
	"time"
)

// step is an action at a virtual time.
type step struct {
	at  time.Duration
	seq int
	run func()
}

type agenda []step

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(step)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	s.steps++
	heap.Push(&s.agenda, step{at: s.now + d, seq: s.steps, run: run})
}
