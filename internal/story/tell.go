package story

import (
	"slices"
	"strings"
	"time"
)

// beliefTime is for how long before a request what was noted of its runners and VMs may have decided about it; a runner's last
// word before a refusal is a few seconds old.
const beliefTime = 5 * time.Second

// Tell returns, in order of time, the lines about a request, and those that tell what its VMs believed of its runners, its model
// and their links meanwhile. It returns nothing when no line is about the request.
func Tell(lines []Line, request string) []Line {
	var own []Line
	for _, line := range lines {
		if line.text("Request") == request {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return nil
	}
	s := newScope(own)
	told := own
	for _, line := range lines {
		if line.text("Request") == "" && s.covers(line) {
			told = append(told, line)
		}
	}
	slices.SortStableFunc(told, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return told
}

// scope is what the lines of a request touch.
type scope struct {
	from    time.Time
	to      time.Time
	vms     map[string]bool
	runners map[string]bool
	models  map[string]bool
}

func newScope(own []Line) scope {
	s := scope{
		vms:     make(map[string]bool),
		runners: make(map[string]bool),
		models:  make(map[string]bool),
	}
	for _, line := range own {
		began := line.Time.Add(-time.Duration(line.number("TookMS")) * time.Millisecond)
		if s.from.IsZero() || began.Before(s.from) {
			s.from = began
		}
		if line.Time.After(s.to) {
			s.to = line.Time
		}
		s.vms[line.VM] = true
		s.runners[line.text("Runner")] = true
		s.models[line.text("Model")] = true
	}
	delete(s.runners, "")
	delete(s.models, "")
	s.from = s.from.Add(-beliefTime)
	return s
}

func (s scope) covers(line Line) bool {
	if line.Time.Before(s.from) || line.Time.After(s.to) {
		return false
	}
	switch {
	case strings.HasPrefix(line.Event, "Order") || line.Event == "LayoutChosen":
		return s.models[line.text("Model")] || s.models[line.text("Load")] || s.runners[line.text("Runner")]
	case strings.HasPrefix(line.Event, "Runner"):
		return s.vms[line.VM] && s.runners[line.text("Runner")]
	default:
		return s.vms[line.VM]
	}
}
