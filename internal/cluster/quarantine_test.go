package cluster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

func (v *fakeVM) Evidence() quarantine.Evidence { v.mu.Lock(); defer v.mu.Unlock(); return v.evidence }
func (v *fakeVM) ReceiveEvidence(e quarantine.Evidence) {
	v.update(func(v *fakeVM) { v.receivedEvidence = append(v.receivedEvidence, e) })
}
func (v *fakeVM) QuarantineStatus() quarantine.Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.status
}
func (v *fakeVM) ReceiveQuarantineStatus(s quarantine.Status) {
	v.update(func(v *fakeVM) { v.receivedStatus = append(v.receivedStatus, s) })
}

func TestQuarantineIsSentOverNewLink(t *testing.T) {
	evidence := quarantine.Evidence{
		Strikes: []quarantine.StrikeReport{{Runner: "r1", Incarnation: 7, Sections: []string{"a", "b"}, SentAge: time.Second, Age: time.Millisecond}},
		Entries: []quarantine.EntryReport{{Section: "c", Convictions: 2, ConvictedAge: time.Hour}},
	}
	status := quarantine.Status{
		Watched:  []string{"a"},
		Suspects: []string{"b"},
		Entries:  []quarantine.EntryReport{{Section: "d", Released: true, ReleasedAge: time.Second}},
	}
	p := newPairWith(t, func(holder, other *fakeVM) { holder.status, other.evidence = status, evidence })
	require.Eventually(t, p.holder.check(func(v *fakeVM) bool { return len(v.receivedEvidence) == 1 }), waitTimeout, pollInterval)
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return len(v.receivedStatus) == 1 }), waitTimeout, pollInterval)
	require.Equal(t, evidence, p.holder.receivedEvidence[0])
	require.Equal(t, status, p.other.receivedStatus[0])
}

func TestEvidenceAndDecisionsCrossLink(t *testing.T) {
	p := newPair(t)
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return len(v.receivedStatus) == 1 }), waitTimeout, pollInterval)
	p.spoke.SendEvidence(quarantine.Evidence{Requested: []string{"a"}})
	require.Eventually(t, p.holder.check(func(v *fakeVM) bool { return len(v.receivedEvidence) == 2 }), waitTimeout, pollInterval)
	require.Equal(t, []string{"a"}, p.holder.receivedEvidence[1].Requested)
	p.hub.BroadcastQuarantine(quarantine.Status{})
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return len(v.receivedStatus) == 2 }), waitTimeout, pollInterval, "an empty status clears what was sent before")
}
