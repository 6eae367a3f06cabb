package catalog

import (
	"strings"
)

// Catalog is one version of the operators' configuration; it is immutable.
type Catalog struct {
	Version uint64
	Limits  Limits
	routes  []Route
	// routesByHost is keyed by host names in lower case.
	routesByHost map[string][]*Route
	services     map[string]Service
	// repeatedServices lists the names of services that occurred before; the last one of a name counts.
	repeatedServices []string
	accounts         []Account
	// accountsByKey is keyed by digests that clients can't predict, so that the time of a look-up says nothing about a key.
	accountsByKey map[KeyDigest]*Account
	// ranks is nil without accounts; defaultPriority is that of requests whose account has no priority.
	ranks           map[priorities]int
	defaultPriority int
}

// New returns a catalog of the given version.
func New(version uint64, limits Limits, routes []Route, services []Service) *Catalog {
	c := &Catalog{
		Version:      version,
		Limits:       limits,
		routes:       routes,
		routesByHost: make(map[string][]*Route),
		services:     make(map[string]Service, len(services)),
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.routesByHost[host] = append(c.routesByHost[host], &routes[i])
	}
	for _, service := range services {
		service.MinObjective, service.FirstPriority = c.urgency(service.Name)
		if _, repeated := c.services[service.Name]; repeated {
			c.repeatedServices = append(c.repeatedServices, service.Name)
		}
		c.services[service.Name] = service
	}
	return c
}

// Match returns the route of the host with the longest prefix of the path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, route := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) && (best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best, best != nil
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// Services returns all services by name.
func (c *Catalog) Services() map[string]Service { return c.services }

// RepeatedServices returns the names under which New got a further service, which replaced the one before.
func (c *Catalog) RepeatedServices() []string { return c.repeatedServices }

// Routes returns all routes.
func (c *Catalog) Routes() []Route { return c.routes }
