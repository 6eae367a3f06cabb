package quarantine_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

// brokeOff handles at the VM that a pending request broke off.
func (s *simulation) brokeOff(r *simRequest) {
	if r.progress.MayCrash(start.Add(s.now)) {
		s.struck(r)
	}
	if !r.retried && !anyOf(r.sections, r.vm.suspects) {
		r.retried = true
		s.send(r)
	}
}

// struck reports a strike to the lease holder.
func (s *simulation) struck(r *simRequest) {
	evidence := r.progress.Strike(quarantine.Incarnation{Runner: r.runner.name, Number: r.incarnation}, r.sections, start.Add(s.now))
	s.after(r.vm.delay, func() {
		// Evidence carries ages, to which the time on the link is not added.
		evidence.SentAt, evidence.At = evidence.SentAt.Add(r.vm.delay), start.Add(s.now)
		s.released(s.detector.Record(evidence))
		convicted, released := s.detector.Judge(evidence.At)
		for _, section := range convicted {
			s.convicted[section] = true
			if section != deadly {
				s.outcome.wronged = append(s.outcome.wronged, fmt.Sprintf("%s at %v", section, s.now))
			} else if s.outcome.convictedAt == 0 {
				s.outcome.convictedAt = s.now
			}
		}
		s.released(released)
	})
}

// succeeded reports an answer that shows its sections to be sound to the lease holder, if that matters.
func (s *simulation) succeeded(r *simRequest) {
	proven := r.progress.Sound()
	if r.reported[proven] {
		return
	}
	r.reported[proven] = true
	report := false
	for _, section := range r.sections {
		key := fmt.Sprint(section, proven)
		reportedAt, reported := r.vm.reported[key]
		if (r.vm.watched[section] || r.vm.quarantined[section]) && (!reported || s.now-reportedAt >= 200*time.Millisecond) {
			r.vm.reported[key] = s.now
			report = true
		}
	}
	if !report {
		return
	}
	success := r.progress.Success(r.sections)
	s.after(r.vm.delay, func() {
		success.SentAt, success.At = success.SentAt.Add(r.vm.delay), success.At.Add(r.vm.delay)
		s.released(s.detector.Success(success))
	})
}

func (s *simulation) released(sections []string) {
	for _, section := range sections {
		delete(s.convicted, section)
	}
	s.broadcast()
}

// findLiving reports incarnations that have run on for a while after a connection to them broke off.
func (s *simulation) findLiving() {
	s.after(time.Second, s.findLiving)
	crashed := s.detector.Crashed(time.Time{})
	for _, runner := range s.runners {
		for incarnation := range crashed {
			if runner.name == incarnation.Runner && runner.incarnation == incarnation.Number && !runner.down {
				s.after(4*time.Second, func() {
					if runner.incarnation == incarnation.Number && !runner.down {
						s.released(s.detector.Alive(incarnation, start.Add(s.now)))
					}
				})
			}
		}
	}
}

// broadcast sends the holder's findings to the VMs if they changed.
func (s *simulation) broadcast() {
	watched, suspects := s.detector.Watched(start.Add(s.now))
	now := strings.Join(watched, ",") + ";" + strings.Join(suspects, ",") + ";" + fmt.Sprint(s.convicted)
	if now == s.pushed {
		return
	}
	s.pushed = now
	watchedSet, suspectSet, convictedSet := set(watched), set(suspects), make(map[string]bool)
	for section := range s.convicted {
		convictedSet[section] = true
	}
	for _, vm := range s.vms {
		s.after(vm.delay+50*time.Millisecond, func() { vm.watched, vm.suspects, vm.quarantined = watchedSet, suspectSet, convictedSet })
	}
}

func set(sections []string) map[string]bool {
	all := make(map[string]bool, len(sections))
	for _, section := range sections {
		all[section] = true
	}
	return all
}
