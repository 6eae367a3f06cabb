package fold

import "github.com/cowsliparch/cowsliparch/internal/logservice"

const recentIDs = 4096

// recent remembers the offsets of the last record IDs that a tail has read.
type recent struct {
	offsets map[string]logservice.Offset
	order   []string
	next    int
}

func newRecent() *recent {
	return &recent{
		offsets: make(map[string]logservice.Offset, recentIDs),
		order:   make([]string, recentIDs),
	}
}

func (r *recent) add(id string, offset logservice.Offset) {
	if _, ok := r.offsets[id]; ok {
		return
	}
	delete(r.offsets, r.order[r.next])
	r.order[r.next] = id
	r.next = (r.next + 1) % recentIDs
	r.offsets[id] = offset
}

func (r *recent) offset(id string) (logservice.Offset, bool) {
	offset, ok := r.offsets[id]
	return offset, ok
}
