package promptguard

import (
	"slices"
	"sync/atomic"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
)

// view is an immutable snapshot of what requests are checked against.
type view struct {
	quarantined map[string]*quarantined
	suspects    map[string]bool
	watched     map[string]bool
}

// quarantined is a section in quarantine.
type quarantined struct {
	// requestedAt is when a request with the section last arrived, in Unix milliseconds.
	requestedAt atomic.Int64
}

// matters reports whether successes of a section are to be reported.
func (v *view) matters(section string) bool {
	return v.watched[section] || v.quarantined[section] != nil
}

// ofMatter returns the keys of the sections whose successes are to be reported.
func (v *view) ofMatter(sections []dispatch.PromptSection) []string {
	if len(v.watched)+len(v.quarantined) == 0 {
		return nil
	}
	var keys []string
	for _, section := range sections {
		if key := sectionKey(section.ID); v.matters(key) && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

func setOf(lists ...[]string) map[string]bool {
	set := make(map[string]bool)
	for _, list := range lists {
		for _, section := range list {
			set[section] = true
		}
	}
	return set
}
