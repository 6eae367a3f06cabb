package quarantine_test

import (
	"slices"
	"time"
)

func (s *simulation) crash(runner *simRunner) {
	runner.down, runner.crashedAt = true, s.now
	for _, r := range runner.pending {
		s.after(r.delay, func() { s.brokeOff(r) })
	}
	runner.pending = nil
	s.after(2*time.Second+time.Duration(s.random.Int64N(int64(3*time.Second))), func() {
		runner.down = false
		runner.incarnation++
	})
}

func (s *simulation) massCrash() {
	if s.massCrashes == 0 {
		return
	}
	s.after(s.massCrashes, s.massCrash)
	for _, runner := range s.runners {
		if !runner.down && s.random.IntN(3) == 0 {
			s.crash(runner)
		}
	}
}

func (s *simulation) resetVM() {
	if s.vmResets == 0 {
		return
	}
	s.after(s.vmResets, s.resetVM)
	vm := s.vms[s.random.IntN(len(s.vms))]
	for _, runner := range s.runners {
		for _, r := range slices.Clone(runner.pending) {
			if r.vm == vm {
				s.end(r, 0)
			}
		}
	}
}
