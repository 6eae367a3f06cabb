package admission

import "time"

const (
	// targetLateShare is the fraction of the admitted calls that may be late.
	targetLateShare = 0.004
	// marginStep is how far one late call raises the margin, as a fraction of the bound.
	marginStep = 0.03
	minMargin  = 0.0
	maxMargin  = 0.5
)

// margin is the fraction of the bound that is held back, so that about targetLateShare of the admitted calls are late.
type margin struct {
	share float64
}

// observe adjusts the margin after an admitted call had its first token.
func (m *margin) observe(late bool) {
	if late {
		m.share = min(m.share+marginStep*(1-targetLateShare), maxMargin)
		return
	}
	m.share = max(m.share-marginStep*targetLateShare, minMargin)
}

func (m *margin) of(bound time.Duration) time.Duration {
	return time.Duration(m.share * float64(bound))
}
