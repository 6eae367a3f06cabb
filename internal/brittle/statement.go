package brittle

import "time"

const (
	// statementTTL is how long the newest statement of a service's runners is relied on.
	statementTTL = 10 * time.Second
	// rejectionTTL is how long VMs tell each other of a rejection.
	rejectionTTL = time.Second
)

// Statement is what runners of a service last stated.
type Statement struct {
	// Tolerance is how many requests a runner can reject within a second, or 0 if any number.
	Tolerance int
	// Age is how long ago they stated it.
	Age time.Duration
	// Rejections holds the newest rejections, by runner.
	Rejections map[string]Rejection `cbor:",omitempty"`
}

// Rejection is that of a request for which a runner had no room.
type Rejection struct {
	// Processed is how many requests the runner worked on, or 0 if that isn't known.
	Processed int
	// Age is how long ago it was.
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

// selectStatements returns all statements, or only those that runners made to this VM, or nil if there are none.
func (b *Board) selectStatements(now time.Time, received bool) Statements {
	var selected Statements
	for service, s := range b.services {
		rejections := b.rejections(service, now, received)
		if !s.valid(now) || (received && !s.received && rejections == nil) {
			continue
		}
		if selected == nil {
			selected = make(Statements)
		}
		selected[service] = Statement{
			Tolerance:  s.tolerance,
			Age:        now.Sub(s.at),
			Rejections: rejections,
		}
	}
	return selected
}

// Received returns the statements that runners made to this VM, or nil if there are none.
func (b *Board) Received(now time.Time) Statements {
	return b.selectStatements(now, true)
}

// Known returns all statements known here, or nil if there are none.
func (b *Board) Known(now time.Time) Statements {
	return b.selectStatements(now, false)
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
		b.applyRejections(service, s.Rejections, now)
	}
}

// rejections returns the newest rejections at a service, or only those of this VM's requests, or nil if there are none.
func (b *Board) rejections(service string, now time.Time, received bool) map[string]Rejection {
	var newest map[string]Rejection
	for id, r := range b.runners {
		if r.service != service || now.Sub(r.rejectedAt) >= rejectionTTL || (received && !r.rejectedHere) {
			continue
		}
		if newest == nil {
			newest = make(map[string]Rejection)
		}
		newest[id] = Rejection{
			Processed: r.processedThen,
			Age:       now.Sub(r.rejectedAt),
		}
	}
	return newest
}

// applyRejections takes over rejections of other VMs' requests.
func (b *Board) applyRejections(service string, received map[string]Rejection, now time.Time) {
	if _, limited := b.services[service]; !limited {
		return
	}
	for id, rejection := range received {
		at := now.Add(-rejection.Age)
		r := b.runner(service, id)
		if rejection.Age < 0 || rejection.Age >= rejectionTTL || at.Sub(r.rejectedAt) <= sameRejection {
			continue
		}
		r.reserveMore(at)
		r.rejectedHere = false
		r.recordProcessed(rejection.Processed, at)
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
