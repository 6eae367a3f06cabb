package quarantine

import "time"

// The reports carry ages in place of times, because the clocks of two VMs may differ.

// Evidence is what a VM reports to the lease holder.
type Evidence struct {
	Strikes   []StrikeReport  `cbor:",omitempty"`
	Successes []SuccessReport `cbor:",omitempty"`
	// Sound lists how long ago sections were last known to be sound.
	Sound map[string]time.Duration `cbor:",omitempty"`
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

// ReportStrike returns the report of a strike that is sent now.
func ReportStrike(s Strike, now time.Time) StrikeReport {
	return StrikeReport{
		Runner:      s.Incarnation.Runner,
		Incarnation: s.Incarnation.Number,
		Sections:    s.Sections,
		SentAge:     now.Sub(s.SentAt),
		Age:         now.Sub(s.At),
	}
}

// Strike returns the strike of a report that arrived now.
func (r StrikeReport) Strike(now time.Time) Strike {
	return Strike{
		Incarnation: Incarnation{
			Runner: r.Runner,
			Number: r.Incarnation,
		},
		Sections: r.Sections,
		SentAt:   now.Add(-max(r.SentAge, 0)),
		At:       now.Add(-max(r.Age, 0)),
	}
}

// ReportSuccess returns the report of a success that is sent now.
func ReportSuccess(s Success, now time.Time) SuccessReport {
	return SuccessReport{
		Sections: s.Sections,
		SentAge:  now.Sub(s.SentAt),
		Age:      now.Sub(s.At),
	}
}

// Success returns the success of a report that arrived now.
func (r SuccessReport) Success(now time.Time) Success {
	return Success{
		Sections: r.Sections,
		SentAt:   now.Add(-max(r.SentAge, 0)),
		At:       now.Add(-max(r.Age, 0)),
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
