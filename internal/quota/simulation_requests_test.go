package quota_test

import "time"

// arrive handles one request of an account and schedules the next one.
func (s *simulation) arrive(a *simAccount) {
	rate := rates()[a.index] * usualPart / meanCost
	hot := s.now < a.hotUntil
	if hot {
		rate *= a.factor
	}
	// The next time is computed again at least once a second, because an account may have become hot.
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	if gap > time.Second {
		s.after(time.Second, func() { s.skip(a) })
	} else {
		s.after(gap, func() { s.arrive(a) })
	}
	if s.now == 0 {
		return
	}
	s.request(a, hot)
}

// skip schedules the next request of an account without one now: arrivals are independent of the past.
func (s *simulation) skip(a *simAccount) {
	rate := rates()[a.index] * usualPart / meanCost
	if s.now < a.hotUntil {
		rate *= a.factor
	}
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	if gap > time.Second {
		s.after(time.Second, func() { s.skip(a) })
		return
	}
	s.after(gap, func() { s.arrive(a) })
}

func (s *simulation) request(a *simAccount, hot bool) {
	total := 0.0
	for _, c := range a.clients {
		total += c.weight
	}
	pick := s.random.Float64() * total
	chosen := a.clients[0]
	for _, c := range a.clients {
		chosen = c
		if pick -= c.weight; pick < 0 {
			break
		}
	}
	if s.now > chosen.until {
		s.connect(chosen)
	}
	if chosen.vm.down {
		return
	}
	cost := min(300+s.random.ExpFloat64()*(meanCost-300), 5000)
	vm := chosen.vm
	_, ok := vm.limiter.Take(&vm.accounts[a.index], cost, s.now)
	within := s.refer(a, cost)
	if s.now > 10*time.Second {
		a.offered++
		if within && !ok {
			a.wronged++
		}
		if ok && hot {
			a.hotUnits += cost
		}
	}
	if ok {
		a.admitted = append(a.admitted, admission{at: s.now, cost: cost})
	}
}

// refer reports whether a single VM that serves all requests admits a request.
func (s *simulation) refer(a *simAccount, cost float64) bool {
	q := s.config[a.index].Quota
	a.reference = min(a.reference+q.Rate*(s.now-a.referenceAt).Seconds(), q.Burst)
	a.referenceAt = s.now
	if a.reference < min(cost, q.Burst) {
		return false
	}
	a.reference -= cost
	return true
}

// worstWindow returns the largest part of the bound that the requests admitted in a window of 8 s used.
func (s *simulation) worstWindow(a *simAccount) (part float64, at time.Duration) {
	sum, first := 0.0, 0
	for _, e := range a.admitted {
		sum += e.cost
		for a.admitted[first].at <= e.at-8*time.Second {
			sum -= a.admitted[first].cost
			first++
		}
		rate := rates()[a.index]
		if s.loweredBy > 0 && e.at > s.loweredBy+8*time.Second {
			rate /= 2
		}
		bound := (rate*8+rate*s.burst)*1.1 + 7500
		if sum/bound > part {
			part, at = sum/bound, e.at
		}
	}
	return part, at
}
