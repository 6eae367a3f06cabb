package dispatch

import (
	"fmt"
	"time"
)

// replayPattern is a load on the runners of one popular model of a large fleet, in virtual time.
type replayPattern struct {
	vms              int
	domains          int
	runnersPerDomain int
	slots            int
	// registered is how many slots the runners claim to have, 0 if slots.
	registered  int
	queue       int
	serviceTime time.Duration
	// load is the share of all slots that the arrivals need.
	load float64
	// surge is the factor by which more requests arrive between surgeFrom and surgeTo.
	surge              float64
	surgeFrom, surgeTo time.Duration
	// slowShare is the share of runners that take three times as long.
	slowShare float64
	// totalsInterval is the time between two totals of requests of all VMs, totalsDelay how long they take to arrive.
	totalsInterval time.Duration
	totalsDelay    time.Duration
	objective      time.Duration
	duration       time.Duration
	// leaveAfter is how long a caller waits for the first token, 0 if it waits forever; deadline is how long it tries in all.
	leaveAfter time.Duration
	deadline   time.Duration
	// sendAll makes VMs send every request, however long its expected wait, and ask refused callers to come back in 0.3 s.
	sendAll bool
	// brittle is nil unless the runners are brittle for a time.
	brittle *brittleTime
}

// largeFleet is the pattern of a popular model on 295 VMs, whose totals are 0.8 s apart.
var largeFleet = replayPattern{
	vms:              295,
	domains:          6,
	runnersPerDomain: 3,
	slots:            12,
	queue:            12,
	serviceTime:      700 * time.Millisecond,
	load:             0.6,
	totalsInterval:   800 * time.Millisecond,
	totalsDelay:      60 * time.Millisecond,
	objective:        500 * time.Millisecond,
	duration:         20 * time.Second,
	deadline:         10 * time.Second,
}

// replayResult counts the requests of a replay.
type replayResult struct {
	asked, inTime, late, rejected int
	// left counts the callers who left before the first token, refused those who were refused when they came back.
	left, refused int
	// falls counts how often brittle runners fell over.
	falls int
	// busiest is the most requests that a runner got, relative to the mean.
	busiest float64
}

func (r replayResult) String() string {
	return fmt.Sprintf("asked %d, in time %.3f, late %.3f, rejected %.3f, left %.3f, refused %.3f, falls %d, busiest/mean %.2f", r.asked,
		r.share(r.inTime), r.share(r.late), r.share(r.rejected), r.share(r.left), r.share(r.refused), r.falls, r.busiest)
}

func (r replayResult) share(n int) float64 { return float64(n) / float64(r.asked) }
