package dispatch

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// SectionGuard keeps prompts that crash runners from the runners. Its methods get all sections of a prompt; the last one, which
// is the request's own, does not count. They don't block and are safe for concurrent use.
type SectionGuard interface {
	// Quarantined returns a section of the prompt that is in quarantine, if there is one. It is to be called before each attempt.
	Quarantined(sections []PromptSection) (id string, ok bool)
	// Suspected reports whether a section of the prompt may crash runners, so that a request that may have run is not to be sent
	// to a second one.
	Suspected(sections []PromptSection) bool
	// RecordStrike records that the connection to a runner broke off, which counts unless the answer shows the prompt to be sound.
	RecordStrike(runner *roster.Runner, sections []PromptSection, p quarantine.Progress, at time.Time)
	// RecordAnswer records that a successful answer has begun, and later that it shows the prompt to be sound.
	RecordAnswer(sections []PromptSection, p quarantine.Progress)
	// RecordUnmarkedEnd records that a successful answer ended with its connection, as it would if the runner had crashed.
	RecordUnmarkedEnd(runner *roster.Runner, sections []PromptSection, p quarantine.Progress, at time.Time)
	// RecordUnreachable records that no process listens at the address of a runner any more.
	RecordUnreachable(runner *roster.Runner)
}

// noGuard is a SectionGuard that lets every prompt pass.
type noGuard struct{}

// Quarantined implements SectionGuard.
func (noGuard) Quarantined([]PromptSection) (id string, ok bool) { return "", false }

// Suspected implements SectionGuard.
func (noGuard) Suspected([]PromptSection) bool { return false }

// RecordStrike implements SectionGuard.
func (noGuard) RecordStrike(*roster.Runner, []PromptSection, quarantine.Progress, time.Time) {}

// RecordAnswer implements SectionGuard.
func (noGuard) RecordAnswer([]PromptSection, quarantine.Progress) {}

// RecordUnmarkedEnd implements SectionGuard.
func (noGuard) RecordUnmarkedEnd(*roster.Runner, []PromptSection, quarantine.Progress, time.Time) {}

// RecordUnreachable implements SectionGuard.
func (noGuard) RecordUnreachable(*roster.Runner) {}
