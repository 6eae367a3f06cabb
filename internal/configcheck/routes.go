package configcheck

import (
	"slices"
	"strings"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// place is what selects a route; the host is in lower case.
type place struct {
	host   string
	prefix string
}

func (f *findings) checkRoutes(c *catalog.Catalog) {
	names := make(map[string]bool)
	places := make(map[place]string)
	for i, route := range c.Routes() {
		entry := EntryName("route", route.Name, i)
		if names[route.Name] && route.Name != "" {
			f.warn(RepeatedRoute, entry, "Another route has the same name, so log lines and metrics don't tell them apart.")
		}
		names[route.Name] = true
		at := place{
			host:   strings.ToLower(route.Host),
			prefix: route.PathPrefix,
		}
		if first, taken := places[at]; taken {
			f.warn(HiddenRoute, entry, "It gets no request, because %s has the same host and prefix and comes first.", first)
		} else {
			places[at] = entry
		}
		f.checkRoute(&route, entry)
		f.checkTargets(c, &route, entry)
	}
}

func (f *findings) checkRoute(route *catalog.Route, entry string) {
	switch {
	case route.PathPrefix == "":
		f.warn(PrefixWithoutSlash, entry, "It has no prefix, so it matches all paths of its host.")
	case !strings.HasPrefix(route.PathPrefix, "/"):
		f.warn(PrefixWithoutSlash, entry, "The prefix %s lacks a slash at its beginning, so it matches no path.", Quote(route.PathPrefix))
	case !strings.HasSuffix(route.PathPrefix, "/"):
		f.warn(PrefixWithoutSlash, entry, "The prefix %s lacks a slash at its end, so it also matches paths that continue the last segment.",
			Quote(route.PathPrefix))
	}
	if route.Timeout <= 0 {
		f.warn(NoTimeout, entry, "It has no timeout, so VMs use their default.")
		return
	}
	if route.Objective > route.Timeout {
		f.warn(ObjectiveTooLong, entry, "The objective of %s is longer than the timeout of %s.", route.Objective, route.Timeout)
	}
	if route.MaxEventGap > route.Timeout {
		f.warn(EventGapTooLong, entry, "The allowed gap between events of %s is longer than the timeout of %s.", route.MaxEventGap, route.Timeout)
	}
}

func (f *findings) checkTargets(c *catalog.Catalog, route *catalog.Route, entry string) {
	reported := make(map[string]bool)
	for _, target := range route.Targets {
		if _, known := c.Service(target.Service); !known && !reported[target.Service] {
			f.warn(UnknownTarget, entry, "Its target %s is not a service of the configuration.", Quote(target.Service))
			reported[target.Service] = true
		}
	}
	if slices.ContainsFunc(route.Targets, func(t catalog.Target) bool { return t.Weight < 0 }) {
		f.warn(NegativeWeight, entry, "A target has a weight below 0, which distorts the shares of the others.")
	}
	hasWeight := slices.ContainsFunc(route.Targets, func(t catalog.Target) bool { return t.Weight > 0 })
	if len(route.Targets) > 0 && !hasWeight {
		f.warn(NoWeight, entry, "No target has a weight above 0, so the first one, %s, gets all requests.", Quote(route.Targets[0].Service))
	}
}
