package promptguard

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// unique returns sections that no other prompt has.
func unique(label string, n int) []string {
	sections := make([]string, n)
	for i := range sections {
		sections[i] = fmt.Sprintf("%s-%04d", label, i)
	}
	return sections
}

// A section that crashes runners must be found behind any number of others, which other prompts share.
func TestDeadlySectionIsFoundBehindManyOthers(t *testing.T) {
	for _, depth := range []int{40, 200, 4000} {
		t.Run(fmt.Sprint(depth), func(t *testing.T) {
			c := newCluster(t, 3)
			before := unique("shared", depth)
			for range 8*depth/maxRemembered + 20 {
				for _, v := range c.vms {
					now := c.clock.Now()
					v.RecordAnswer(prompt(append(slices.Clone(before), "usual")...), quarantine.NewProgress(now).WithEnd(now))
				}
			}
			for i, runner := range []string{"r1", "r2", "r3", "r4", "r5"} {
				c.crash(c.vms[i%3], runner, append(slices.Clone(before), "deadly")...)
			}
			require.Equal(t, 3, c.quarantined("deadly"))
			require.Equal(t, 3, c.quarantined(append(slices.Clone(before), "deadly")...))
			require.Zero(t, c.quarantined("usual"))
		})
	}
}

// A section that crashes runners must be found among many that no other prompt has.
func TestDeadlySectionIsFoundAmongUniqueOnes(t *testing.T) {
	c := newCluster(t, 2)
	for i := range 5 {
		sections := unique(fmt.Sprint("request-", i), 3000)
		sections[1000+i] = "deadly"
		c.crash(c.vms[1], fmt.Sprint("r", i), sections...)
	}
	require.Equal(t, 2, c.quarantined("deadly"))
}

// IDs of any length and of any bytes are tracked, and told apart.
func TestOddSectionIDsAreTracked(t *testing.T) {
	long := strings.Repeat("a", 200)
	for name, ids := range map[string][2]string{
		"long":               {long + "1", long + "2"},
		"not UTF-8":          {"\xff\xfe", "\xff\xfd"},
		"like a hash":        {"#0000000000000001", "#0000000000000002"},
		"long and not UTF-8": {long + "\xff", long + "\xfe"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.convict(ids[0])
			require.Equal(t, 3, c.quarantined(ids[0]))
			require.Zero(t, c.quarantined(ids[1]))
			id, _ := c.vms[0].Quarantined(prompt(ids[0]))
			require.Equal(t, ids[0], id)
			c.settle()
			for key := range c.stored {
				require.True(t, validKey(key))
			}
			c.elect(c.start())
			require.Equal(t, 4, c.quarantined(ids[0]), "the store and the links carry it")
			c.answer(c.vms[1], ids[0])
			require.Zero(t, c.quarantined(ids[0]))
		})
	}
}

// What a strike, an answer and a message cost must not grow with the prompt.
func TestEvidenceOfLongPromptsIsBounded(t *testing.T) {
	c := newCluster(t, 2)
	v := c.vms[1]
	var sizes []int
	for _, n := range []int{maxNamed + 1, 4000} {
		sections := unique(fmt.Sprintf("%04d", n), n)
		now := c.clock.Now()
		v.RecordStrike(&roster.Runner{ID: "r1"}, prompt(sections...), quarantine.NewProgress(now), now)
		strike := v.recent[len(v.recent)-1]
		encoded, err := cbor.Marshal(quarantine.Evidence{}.WithStrike(strike, now))
		require.NoError(t, err)
		sizes = append(sizes, len(encoded))
	}
	// Numbers take one byte to three.
	require.InDelta(t, sizes[0], sizes[1], 2*maxNamed)
	before := len(v.begun.once) + len(v.begun.at)
	v.RecordAnswer(prompt(unique("answer", 4000)...), quarantine.NewProgress(c.clock.Now()).WithEnd(c.clock.Now()))
	require.LessOrEqual(t, len(v.begun.once)+len(v.begun.at)-before, maxRemembered)
}

// A caller that sends sections of its own must not displace what is known of those that requests share.
func TestUniqueSectionsDoNotFillEvidence(t *testing.T) {
	c := newCluster(t, 2)
	v := c.vms[1]
	for range 2 {
		c.answer(v, "shared")
	}
	c.crash(v, "r1", "deadly")
	c.crash(v, "r2", "deadly")
	now := c.clock.Now()
	for i := range 200 {
		sections := prompt(unique(fmt.Sprint("junk-", i), 4000)...)
		v.RecordAnswer(sections, quarantine.NewProgress(now).WithEnd(now))
		v.RecordStrike(&roster.Runner{ID: "r3"}, sections, quarantine.NewProgress(now), now)
	}
	c.settle()
	require.Contains(t, v.proven.ages([]string{"shared"}, now), "shared")
	require.Contains(t, v.view.Load().suspects, "deadly")
	c.crash(v, "r4", "deadly")
	require.Equal(t, 2, c.quarantined("deadly"))
}

// Repetitions of a section must not hide those after them.
func TestRepeatedSectionsAreNamedOnce(t *testing.T) {
	c := newCluster(t, 2)
	repeated := slices.Repeat([]string{"same"}, 500)
	for i := range 5 {
		c.crash(c.vms[1], fmt.Sprint("r", i), append(slices.Clone(repeated), "deadly")...)
	}
	require.Equal(t, 2, c.quarantined("deadly"))
}

func TestSample(t *testing.T) {
	var sections []dispatch.PromptSection
	for _, id := range unique("s", 10) {
		sections = append(sections, dispatch.PromptSection{ID: id})
	}
	picked := make(map[string]bool)
	for range 200 {
		some := sample(sections, 4)
		require.Len(t, some, 4)
		for _, section := range some {
			picked[section.ID] = true
		}
	}
	require.Len(t, picked, len(sections))
	require.Equal(t, sections, sample(sections, 10))
}

// While all runners are down, no answer tells which of the sections common to all crashes is the deadly one: it is the last of them, also
// where prompts have more than a strike names.
func TestDeadlySectionIsFoundWhileNothingIsAnswered(t *testing.T) {
	for name, answered := range map[string]bool{"answers before": true, "none": false} {
		for seed := range 10 {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				c := newCluster(t, 3)
				before := unique("shared", 40)
				with := func(last string) []dispatch.PromptSection { return prompt(append(slices.Clone(before), last)...) }
				for _, v := range c.vms {
					if now := c.clock.Now(); answered {
						v.RecordAnswer(with("usual"), quarantine.NewProgress(now).WithEnd(now))
					}
				}
				for i := range 6 {
					runner := &roster.Runner{ID: fmt.Sprint("r", i)}
					sent := quarantine.NewProgress(c.clock.Now())
					c.clock.Advance(300 * time.Millisecond)
					for n, v := range c.vms {
						v.RecordStrike(runner, with(fmt.Sprint("usual-", i, n)), sent, c.clock.Now())
					}
					c.vms[i%3].RecordStrike(runner, with("deadly"), sent, c.clock.Now())
					c.settle()
				}
				c.pass(2 * time.Second)
				t.Log(c.vms[0].detector.Convictions())
				require.Equal(t, 3, c.quarantined("deadly"))
				require.Zero(t, c.quarantined(before...), "sections that sound requests share")
			})
		}
	}
}
