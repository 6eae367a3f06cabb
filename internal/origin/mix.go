package origin

import (
	"iter"
	"maps"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// mixes observes which services have runners of several releases; it is safe for concurrent use.
type mixes struct {
	mu       sync.Mutex
	services map[string]*mix
	// view is the one that was observed last.
	view *roster.View
}

// mix is what was observed of one service.
type mix struct {
	// release is the only one in use, unless several is set.
	release string
	several bool
	// until is when the service last had several releases, or changed from one to another; zero if it was not observed.
	until time.Time
}

// observe looks at the registered runners and returns the services that have begun to have several releases, or another one.
func (m *mixes) observe(view *roster.View, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, seen := range m.services {
		if seen.several {
			seen.until = now
		}
	}
	if view == m.view {
		return nil
	}
	m.view = view
	var begun []string
	for service, current := range releasesOf(maps.Values(view.All())) {
		before, known := m.services[service]
		if !known {
			before = &mix{release: current.release}
			m.services[service] = before
		}
		changed := !before.several && (current.several || current.release != before.release)
		if changed {
			begun = append(begun, service)
			before.until = now
		}
		before.release, before.several = current.release, current.several
	}
	return begun
}

// releasesOf returns the releases of each service among runners.
func releasesOf(runners iter.Seq[*roster.Runner]) map[string]mix {
	releases := make(map[string]mix)
	for runner := range runners {
		seen, ok := releases[runner.Service]
		if !ok {
			seen.release = runner.Release
		}
		seen.several = seen.several || seen.release != runner.Release
		releases[runner.Service] = seen
	}
	return releases
}

// anyWithin reports whether any service had several releases within a period.
func (m *mixes) anyWithin(period time.Duration, now time.Time) bool {
	return len(m.mixedServices(period, now)) > 0
}

// mixedServices returns the services that had several releases within a period.
func (m *mixes) mixedServices(period time.Duration, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var services []string
	for service, seen := range m.services {
		if !seen.until.IsZero() && now.Sub(seen.until) < period {
			services = append(services, service)
		}
	}
	return services
}

// mixedWithin reports whether the service had several releases within a period, as far as was observed here.
func (m *mixes) mixedWithin(service string, period time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen, ok := m.services[service]
	return ok && !seen.until.IsZero() && now.Sub(seen.until) < period
}
