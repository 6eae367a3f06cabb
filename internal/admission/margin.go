package admission

import "time"

const (
	marginStep     = 5 * time.Millisecond
	marginQuantile = 0.99
	// marginShare bounds the margin as a part of the bound.
	marginShare = 0.5
)

// margin follows a high quantile of how much later than predicted first tokens come.
type margin struct {
	value time.Duration
}

// observe moves the margin a step towards the quantile of the errors seen.
func (m *margin) observe(late time.Duration) {
	if late > m.value {
		m.value += time.Duration(marginQuantile * float64(marginStep))
		return
	}
	m.value = max(0, m.value-time.Duration((1-marginQuantile)*float64(marginStep)))
}

func (m *margin) within(bound time.Duration) time.Duration {
	return min(m.value, time.Duration(marginShare*float64(bound)))
}
