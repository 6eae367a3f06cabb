package shedding

const (
	// largeShare is how often the requests of any size class are admitted at least, relative to the mean request of their rank.
	// The rule is a half; the rest covers the difference between expected and actual numbers.
	largeShare = 0.6
	// fillSteps is the number of bisection steps that find the share of large requests, to a millionth.
	fillSteps = 20
)

// fill returns the share of requests of a size class to admit, so that the admitted work of a rank is within a budget and as many
// requests as possible are admitted: smaller ones first, but of each class at least largeShare of the mean.
func (r *rankMix) fill(budget float64, class int) float64 {
	total, requests := r.work(), sum(&r.asked)
	switch {
	case budget >= total:
		return 1
	case budget <= 0 || requests == 0:
		return 0
	}
	low, high := 0.0, budget/total
	for range fillSteps {
		floor := (low + high) / 2
		if _, mean := r.fillAbove(floor, budget, class); floor < largeShare*mean {
			low = floor
		} else {
			high = floor
		}
	}
	share, _ := r.fillAbove(high, budget, class)
	return share
}

// fillAbove returns the admitted share of a class and of all requests if floor is the share of the largest ones. The budget must
// suffice for the floor.
func (r *rankMix) fillAbove(floor, budget float64, class int) (share, mean float64) {
	left := budget - floor*r.work()
	admitted, requests := 0.0, 0.0
	for i := range classes {
		q := 1.0
		if needed := (1 - floor) * r.askedWork[i]; needed > left {
			q = floor + left/r.askedWork[i]
			left = 0
		} else {
			left -= needed
		}
		if i == class {
			share = q
		}
		admitted += q * r.asked[i]
		requests += r.asked[i]
	}
	return share, admitted / requests
}
