package quota_test

import (
	"container/heap"
	"time"
)

// step is something that happens in a simulation; order keeps those of the same time apart.
type step struct {
	at    time.Duration
	order int
	run   func()
}

func (s *simulation) after(d time.Duration, run func()) {
	s.steps++
	heap.Push(&s.agenda, step{at: s.now + d, order: s.steps, run: run})
}

// agenda is a heap of steps, the earliest first.
type agenda []step

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(step)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// upTo returns a random time below a limit.
func (s *simulation) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}
