package promptguard

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
)

const (
	// maxNamed is how many sections of a prompt a strike names. namedByRank of those are selected by their ranks, namedByDepth by their
	// places, and chance selects the others.
	maxNamed     = 32
	namedByRank  = 16
	namedByDepth = 8
	// maxRemembered is how many sections of an answer are remembered as sound.
	maxRemembered = 256
	// maxPlainKey is the size of the longest section ID that is its own key.
	maxPlainKey = 128
	// hashPrefix begins the keys of other IDs.
	hashPrefix = "#"
)

// shared returns the sections of a prompt that other requests may share: all but the last.
func shared(sections []dispatch.PromptSection) []dispatch.PromptSection {
	return sections[:max(len(sections)-1, 0)]
}

// sectionKey returns the key under which a section is known to all VMs and in the store. It is the ID, so that operators can read it,
// or a hash where the ID is too long or not such text as peers accept.
func sectionKey(id string) string {
	if len(id) <= maxPlainKey && utf8.ValidString(id) && !strings.HasPrefix(id, hashPrefix) {
		return id
	}
	return fmt.Sprintf("%s%016x", hashPrefix, xxhash.Sum64String(id))
}

// validKey reports whether a peer or the store may have sent a key.
func validKey(key string) bool { return key != "" && len(key) <= maxPlainKey && utf8.ValidString(key) }

// sectionKeys returns the keys of sections, without those that have no ID and, in a long prompt, repetitions of others.
func sectionKeys(sections []dispatch.PromptSection) []string {
	keys := make([]string, 0, len(sections))
	var seen map[string]bool
	if len(sections) > maxNamed {
		seen = make(map[string]bool, len(sections))
	}
	for _, section := range sections {
		key := sectionKey(section.ID)
		if section.ID == "" || seen[key] {
			continue
		}
		if seen != nil {
			seen[key] = true
		}
		keys = append(keys, key)
	}
	return keys
}

// retained returns keys that don't keep the request's header in memory.
func retained(keys []string) []string {
	clones := make([]string, len(keys))
	for i, key := range keys {
		clones[i] = strings.Clone(key)
	}
	return clones
}

// sample returns the sections, or some of a long prompt, which chance selects.
func sample(sections []dispatch.PromptSection, limit int) []dispatch.PromptSection {
	if len(sections) <= limit {
		return sections
	}
	sampled := make([]dispatch.PromptSection, limit)
	for i := range sampled {
		sampled[i] = sections[rand.IntN(len(sections))]
	}
	return sampled
}

// The ranks of the sections of a prompt that broke off, the most telling first. Those of sections that an answer has shown to be sound
// come after all others.
const (
	rankWatched = iota
	rankRecurring
	rankUnknown
	soundRanks
)

// rank returns the rank of a section.
func (g *Guard) rank(key string, v *view) int {
	rank := rankUnknown
	switch {
	case v.matters(key):
		rank = rankWatched
	case g.struck.has(key):
		rank = rankRecurring
	}
	if g.answered.has(key) {
		rank += soundRanks
	}
	return rank
}

// mostTelling returns the sections of a prompt that a strike names and their positions, in their order in the prompt: all, or of a long
// prompt those that no answer has shown to be sound, and of these mostly the suspects, then those that were in other prompts that broke off
// here. Of equal ones, the last in the prompt come first, as fewer requests share them; the last of all and some that chance selects are
// named as well, so that no prompt hides a section for long. The positions are nil if all are named.
func (g *Guard) mostTelling(keys []string) (named []string, depths []int) {
	if len(keys) <= maxNamed {
		return retained(keys), nil
	}
	v := g.view.Load()
	order := make([]int, len(keys))
	ranks := make([]int, len(keys))
	for i, key := range keys {
		order[i], ranks[i] = i, g.rank(key, v)
	}
	byRank := func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) }
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(byRank(a, b), cmp.Compare(b, a)) })
	rest := order[namedByRank:]
	slices.SortFunc(rest, func(a, b int) int {
		return cmp.Or(cmp.Compare(ranks[a]/soundRanks, ranks[b]/soundRanks), cmp.Compare(b, a))
	})
	rest = rest[namedByDepth:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	slices.SortStableFunc(rest, byRank)
	depths = slices.Clone(order[:maxNamed])
	slices.Sort(depths)
	named = make([]string, maxNamed)
	for i, depth := range depths {
		named[i] = keys[depth]
	}
	return retained(named), depths
}
