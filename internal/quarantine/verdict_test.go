package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

// burst records five crashes within half a second, at which a sound section and a deadly one were pending.
func burst(d *quarantine.Detector) {
	for i, sent := range []float64{0, 0.05, 0.1, 0.3, 0.35} {
		d.Record(strike(fmt.Sprintf("r%d", i), sent, sent+0.1, "sound", "deadly"))
	}
}

// A section must not stay unconvicted because most runners are down, so that nothing clears the section that came with it.
func TestSectionIsConvictedWhileNothingIsAnswered(t *testing.T) {
	d := quarantine.NewDetector()
	burst(d)
	convicted, _ := d.Judge(at(0.5))
	require.Empty(t, convicted, "an answer may still be on its way")
	convicted, _ = d.Judge(at(1.5))
	require.Equal(t, []string{"deadly"}, convicted)
}

// Crashes within a moment convict no section whose requests are answered afterwards.
func TestAnswerAfterBurstClearsSections(t *testing.T) {
	d := quarantine.NewDetector()
	burst(d)
	d.Success(success(0.6, 0.9, "sound", "deadly"))
	convicted, _ := d.Judge(at(5))
	require.Empty(t, convicted)
}
