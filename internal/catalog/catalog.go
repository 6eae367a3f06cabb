package catalog

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Catalog is one version of the operators' configuration; it is immutable.
type Catalog struct {
	Version uint64
	Limits  Limits
	routes  []Route
	// routesByHost is keyed by host names in lower case.
	routesByHost map[string][]*Route
	services     map[string]Service
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
		service.MinObjective, service.FirstPriority = urgency(routes, service.Name)
		c.services[service.Name] = service
	}
	return c
}

// urgency returns the shortest objective of the routes to a service, 0 if none has one, and the least priority number if others are
// greater, or else -1.
func urgency(routes []Route, service string) (shortest time.Duration, first int) {
	first, last := math.MaxInt, math.MinInt
	for _, route := range routes {
		if !slices.ContainsFunc(route.Targets, func(t Target) bool { return t.Service == service }) {
			continue
		}
		if route.Objective > 0 && (shortest == 0 || route.Objective < shortest) {
			shortest = route.Objective
		}
		first, last = min(first, route.Priority), max(last, route.Priority)
	}
	if first >= last {
		first = -1
	}
	return shortest, first
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

// Routes returns all routes.
func (c *Catalog) Routes() []Route { return c.routes }
