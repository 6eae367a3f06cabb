package requestlog

import (
	"slices"
	"strings"
	"time"
)

// lookback is how long before a request an event of its runners, models and VMs may still have affected it; the last event
// of a runner before a refusal is a few seconds old.
const lookback = 5 * time.Second

// Related returns, in order of time, the lines of a request and those that show what its VMs knew meanwhile of its runners,
// its model and their links; it returns nothing if no line has the request's ID.
func Related(lines []Line, request string) []Line {
	var requestLines []Line
	for _, line := range lines {
		if line.stringField("Request") == request {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	s := newScope(requestLines)
	related := requestLines
	for _, line := range lines {
		if line.stringField("Request") == "" && s.includes(line) {
			related = append(related, line)
		}
	}
	slices.SortStableFunc(related, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return related
}

// scope is the time range, VMs, runners and models that the lines of a request name.
type scope struct {
	from    time.Time
	to      time.Time
	vms     map[string]bool
	runners map[string]bool
	models  map[string]bool
}

func newScope(requestLines []Line) scope {
	s := scope{
		vms:     make(map[string]bool),
		runners: make(map[string]bool),
		models:  make(map[string]bool),
	}
	for _, line := range requestLines {
		started := line.Time.Add(-time.Duration(line.numberField("TookMS")) * time.Millisecond)
		if s.from.IsZero() || started.Before(s.from) {
			s.from = started
		}
		if line.Time.After(s.to) {
			s.to = line.Time
		}
		s.vms[line.VM] = true
		s.runners[line.stringField("Runner")] = true
		s.models[line.stringField("Model")] = true
	}
	delete(s.runners, "")
	delete(s.models, "")
	s.from = s.from.Add(-lookback)
	return s
}

// includes reports whether a line without a request ID may explain what happened to the request.
func (s scope) includes(line Line) bool {
	if line.Time.Before(s.from) || line.Time.After(s.to) {
		return false
	}
	switch {
	case strings.HasPrefix(line.Event, "Order") || line.Event == "LayoutChosen":
		return s.models[line.stringField("Model")] || s.models[line.stringField("Load")] || s.runners[line.stringField("Runner")]
	case strings.HasPrefix(line.Event, "Runner"):
		return s.vms[line.VM] && s.runners[line.stringField("Runner")]
	default:
		return s.vms[line.VM]
	}
}
