package brittle

import "time"

// statementTTL is how long the newest statement of a service's runners is relied on.
const statementTTL = 10 * time.Second

// Statement is what runners of a service last stated.
type Statement struct {
	// Tolerance is how many requests a runner can reject within a second, or 0 if any number.
	Tolerance int
	// Age is how long ago they stated it.
	Age time.Duration
}

// Statements holds the newest statements of runners, by service.
type Statements map[string]Statement

// statement is a Statement as it is kept.
type statement struct {
	tolerance int
	at        time.Time
	// received is set if a runner stated it to this VM.
	received bool
}

// valid reports whether the statement is still relied on.
func (s statement) valid(now time.Time) bool { return !s.at.IsZero() && now.Sub(s.at) < statementTTL }

// select returns the statements of which keep holds, or nil if there are none.
func (b *Board) selectStatements(now time.Time, keep func(statement) bool) Statements {
	var selected Statements
	for service, s := range b.services {
		if !s.valid(now) || !keep(s) {
			continue
		}
		if selected == nil {
			selected = make(Statements)
		}
		selected[service] = Statement{
			Tolerance: s.tolerance,
			Age:       now.Sub(s.at),
		}
	}
	return selected
}

// Received returns the statements that runners made to this VM, or nil if there are none.
func (b *Board) Received(now time.Time) Statements {
	return b.selectStatements(now, func(s statement) bool { return s.received })
}

// Known returns all statements known here, or nil if there are none.
func (b *Board) Known(now time.Time) Statements {
	return b.selectStatements(now, func(statement) bool { return true })
}

// Apply takes over statements that other VMs know, unless newer ones are known here.
func (b *Board) Apply(received Statements, now time.Time) {
	for service, s := range received {
		if s.Tolerance < 0 || s.Age < 0 || s.Age >= statementTTL {
			continue
		}
		b.record(service, statement{
			tolerance: min(s.Tolerance, MaxTolerance),
			at:        now.Add(-s.Age),
		})
	}
}

// record keeps a statement unless a newer one is known. That runners reject any number is only worth keeping after another statement.
func (b *Board) record(service string, s statement) {
	known, ok := b.services[service]
	if (!ok && s.tolerance == 0) || s.at.Before(known.at) {
		return
	}
	b.services[service] = s
}
