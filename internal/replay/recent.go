package replay

import "github.com/cowsliparch/cowsliparch/internal/logservice"

// maxRecentIDs is how many record IDs are remembered.
const maxRecentIDs = 4096

// recentRecords maps the IDs of the last records read to their offsets.
type recentRecords struct {
	offsets map[string]logservice.Offset
	// ring has the IDs in reading order; next is the index of the oldest one.
	ring []string
	next int
}

func newRecentRecords() *recentRecords {
	return &recentRecords{
		offsets: make(map[string]logservice.Offset, maxRecentIDs),
		ring:    make([]string, maxRecentIDs),
	}
}

func (r *recentRecords) add(id string, offset logservice.Offset) {
	if _, ok := r.offsets[id]; ok {
		return
	}
	delete(r.offsets, r.ring[r.next])
	r.ring[r.next] = id
	r.next = (r.next + 1) % maxRecentIDs
	r.offsets[id] = offset
}

func (r *recentRecords) offset(id string) (logservice.Offset, bool) {
	offset, ok := r.offsets[id]
	return offset, ok
}
