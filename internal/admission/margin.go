package admission

import "time"

const (
	// lateTarget is the part of the admitted calls that may be late.
	lateTarget = 0.004
	// marginStep is how far one late call moves the margin, as a part of the bound.
	marginStep  = 0.03
	leastMargin = 0.0
	mostMargin  = 0.5
)

// margin is the part of the bound that is kept back, so that about lateTarget of the admitted calls are late. It falls
// below 0 where predictions turn out too careful.
type margin struct {
	share float64
}

// observe moves the margin after an admitted call had its first token.
func (m *margin) observe(late bool) {
	if late {
		m.share = min(m.share+marginStep*(1-lateTarget), mostMargin)
		return
	}
	m.share = max(m.share-marginStep*lateTarget, leastMargin)
}

func (m *margin) of(bound time.Duration) time.Duration {
	return time.Duration(m.share * float64(bound))
}
