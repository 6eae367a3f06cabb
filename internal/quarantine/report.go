package quarantine

import (
	"maps"
	"slices"
	"time"
)

// The reports carry ages in place of times, because the clocks of two VMs may differ.

// Evidence is what a VM reports to the lease holder.
type Evidence struct {
	// Strikes lists those of requests whose answer had not begun, BegunStrikes the others.
	Strikes      []StrikeReport `cbor:",omitempty"`
	BegunStrikes []StrikeReport `cbor:",omitempty"`
	// Depths lists the positions in their prompts of sections of long ones; that of any other section is its index in the strike.
	Depths map[string]int `cbor:",omitempty"`
	// Successes lists those that are not proven, Proven the others.
	Successes []SuccessReport `cbor:",omitempty"`
	Proven    []SuccessReport `cbor:",omitempty"`
	// Sound lists how long ago answers with sections last began, ProvenSound the same for answers that are proven.
	Sound       map[string]time.Duration `cbor:",omitempty"`
	ProvenSound map[string]time.Duration `cbor:",omitempty"`
	// Running lists incarnations that sent data after a connection to them had broken off.
	Running []RunningReport `cbor:",omitempty"`
	// Requested lists sections in quarantine with which requests have arrived.
	Requested []string `cbor:",omitempty"`
	// Entries lists the records that the VM has, when it opens a link.
	Entries []EntryReport `cbor:",omitempty"`
}

// Status is what the lease holder reports to the VMs.
type Status struct {
	// Watched lists the sections whose successes the VMs are to report.
	Watched  []string `cbor:",omitempty"`
	Suspects []string `cbor:",omitempty"`
	// Entries lists all records; it is omitted if they are as last sent.
	Entries []EntryReport `cbor:",omitempty"`
}

// StrikeReport is a strike as it is sent to another VM.
type StrikeReport struct {
	_           struct{} `cbor:",toarray"`
	Runner      string
	Incarnation int64
	Sections    []string
	SentAge     time.Duration
	Age         time.Duration
}

// SuccessReport is a success as it is sent to another VM.
type SuccessReport struct {
	_        struct{} `cbor:",toarray"`
	Sections []string
	SentAge  time.Duration
	Age      time.Duration
}

// RunningReport says when an incarnation last ran for certain, as it is sent to another VM.
type RunningReport struct {
	_           struct{} `cbor:",toarray"`
	Runner      string
	Incarnation int64
	Age         time.Duration
}

// EntryReport is a record as it is sent to another VM.
type EntryReport struct {
	_            struct{} `cbor:",toarray"`
	Section      string
	Convictions  int
	ConvictedAge time.Duration
	RequestedAge time.Duration
	// ReleasedAge is meaningful only if Released is set.
	Released    bool
	ReleasedAge time.Duration
}

// WithStrike returns the evidence with a strike, sent now.
func (e Evidence) WithStrike(s Strike, now time.Time) Evidence {
	report := StrikeReport{
		Runner:      s.Incarnation.Runner,
		Incarnation: s.Incarnation.Number,
		Sections:    s.Sections,
		SentAge:     now.Sub(s.SentAt),
		Age:         now.Sub(s.At),
	}
	if len(s.Depths) > 0 {
		depths := maps.Clone(e.Depths)
		if depths == nil {
			depths = make(map[string]int)
		}
		for i, section := range s.Sections {
			depths[section] = max(depths[section], s.depth(i))
		}
		e.Depths = depths
	}
	if s.Begun {
		e.BegunStrikes = append(slices.Clip(e.BegunStrikes), report)
	} else {
		e.Strikes = append(slices.Clip(e.Strikes), report)
	}
	return e
}

// ReceivedStrikes returns the strikes of evidence that arrived now.
func (e Evidence) ReceivedStrikes(now time.Time) []Strike {
	var strikes []Strike
	for _, report := range e.Strikes {
		strikes = append(strikes, report.strike(now, false).WithDepths(e.depths(report.Sections)))
	}
	for _, report := range e.BegunStrikes {
		strikes = append(strikes, report.strike(now, true).WithDepths(e.depths(report.Sections)))
	}
	return strikes
}

// depths returns the positions of the sections of a strike, or nil if none is listed.
func (e Evidence) depths(sections []string) []int {
	if len(e.Depths) == 0 {
		return nil
	}
	depths := make([]int, len(sections))
	for i, section := range sections {
		depths[i] = max(i, e.Depths[section])
	}
	return depths
}

func (r StrikeReport) strike(now time.Time, begun bool) Strike {
	return Strike{
		Incarnation: Incarnation{
			Runner: r.Runner,
			Number: r.Incarnation,
		},
		Sections: r.Sections,
		SentAt:   now.Add(-max(r.SentAge, 0)),
		At:       now.Add(-max(r.Age, 0)),
		Begun:    begun,
	}
}

// WithSuccess returns the evidence with a success, sent now.
func (e Evidence) WithSuccess(s Success, now time.Time) Evidence {
	report := SuccessReport{
		Sections: s.Sections,
		SentAge:  now.Sub(s.SentAt),
		Age:      now.Sub(s.At),
	}
	if s.Proven {
		e.Proven = append(slices.Clip(e.Proven), report)
	} else {
		e.Successes = append(slices.Clip(e.Successes), report)
	}
	return e
}

// ReceivedSuccesses returns the successes of evidence that arrived now.
func (e Evidence) ReceivedSuccesses(now time.Time) []Success {
	var successes []Success
	for _, report := range e.Successes {
		successes = append(successes, report.success(now, false))
	}
	for _, report := range e.Proven {
		successes = append(successes, report.success(now, true))
	}
	return successes
}

func (r SuccessReport) success(now time.Time, proven bool) Success {
	return Success{
		Sections: r.Sections,
		SentAt:   now.Add(-max(r.SentAge, 0)),
		At:       now.Add(-max(r.Age, 0)),
		Proven:   proven,
	}
}

// ReportRunning returns the report that an incarnation ran at a time, sent now.
func ReportRunning(incarnation Incarnation, at, now time.Time) RunningReport {
	return RunningReport{
		Runner:      incarnation.Runner,
		Incarnation: incarnation.Number,
		Age:         now.Sub(at),
	}
}

// Running returns the incarnation of a report that arrived now, and when it ran.
func (r RunningReport) Running(now time.Time) (Incarnation, time.Time) {
	incarnation := Incarnation{
		Runner: r.Runner,
		Number: r.Incarnation,
	}
	return incarnation, now.Add(-max(r.Age, 0))
}

// ReportEntries returns the reports of records that are sent now.
func ReportEntries(entries []Entry, now time.Time) []EntryReport {
	reports := make([]EntryReport, 0, len(entries))
	for _, e := range entries {
		report := EntryReport{
			Section:      e.Section,
			Convictions:  e.Convictions,
			ConvictedAge: now.Sub(e.ConvictedAt),
			RequestedAge: now.Sub(e.RequestedAt),
			Released:     e.Released(),
		}
		if report.Released {
			report.ReleasedAge = now.Sub(e.ReleasedAt)
		}
		reports = append(reports, report)
	}
	return reports
}

// Entry returns the record of a report that arrived now.
func (r EntryReport) Entry(now time.Time) Entry {
	e := Entry{
		Section:     r.Section,
		Convictions: r.Convictions,
		ConvictedAt: now.Add(-max(r.ConvictedAge, 0)),
		RequestedAt: now.Add(-max(r.RequestedAge, 0)),
	}
	if r.Released {
		e.ReleasedAt = latest(now.Add(-max(r.ReleasedAge, 0)), e.ConvictedAt.Add(time.Millisecond))
	}
	return e
}
