package catalog

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// LowestPriority is the largest priority number that runners accept; 0 is the highest priority.
const LowestPriority = 9

// priorities is what ranks a request: the priority of its account and then that of its route.
type priorities struct {
	account int
	route   int
}

// Rank returns the priority of a request to a route; account is nil if the request has none. Without accounts, it is the route's.
// With accounts, it is the place, up to LowestPriority, of the pair of the account's priority and the route's among all pairs that the
// configuration can produce.
func (c *Catalog) Rank(route *Route, account *Account) int {
	if !c.HasAccounts() {
		return route.Priority
	}
	rank, ok := c.ranks[c.priorities(route, account)]
	if !ok {
		return LowestPriority
	}
	return rank
}

// priorities returns what ranks a request. Without an account, or if the account has no priority, only the route's counts.
func (c *Catalog) priorities(route *Route, account *Account) priorities {
	p := priorities{
		account: c.defaultPriority,
		route:   route.Priority,
	}
	if account != nil && account.Priority != nil {
		p.account = *account.Priority
	}
	return p
}

// rankRequests sets the ranks of all pairs of priorities, given the accounts.
func (c *Catalog) rankRequests() {
	c.defaultPriority = mostUrgent(c.accounts)
	var pairs []priorities
	for i := range c.routes {
		pairs = append(pairs, c.prioritiesOf(&c.routes[i])...)
	}
	slices.SortFunc(pairs, func(a, b priorities) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route))
	})
	c.ranks = make(map[priorities]int)
	for i, pair := range slices.Compact(pairs) {
		c.ranks[pair] = min(i, LowestPriority)
	}
}

// mostUrgent returns the least priority number of the accounts, or 0 if none has a priority.
func mostUrgent(accounts []Account) int {
	first, known := 0, false
	for i := range accounts {
		if p := accounts[i].Priority; p != nil && (!known || *p < first) {
			first, known = *p, true
		}
	}
	return first
}

// prioritiesOf returns the pairs of priorities that requests to a route can have, given the accounts.
func (c *Catalog) prioritiesOf(route *Route) []priorities {
	var pairs []priorities
	for i := range c.accounts {
		pairs = append(pairs, c.priorities(route, &c.accounts[i]))
	}
	if route.AllowAnonymous {
		pairs = append(pairs, c.priorities(route, nil))
	}
	return pairs
}

// ranksOf returns the ranks that requests to a route can have.
func (c *Catalog) ranksOf(route *Route) []int {
	if !c.HasAccounts() {
		return []int{route.Priority}
	}
	var ranks []int
	for _, pair := range c.prioritiesOf(route) {
		ranks = append(ranks, c.ranks[pair])
	}
	return ranks
}

// urgency returns the shortest objective of the routes to a service, 0 if none has one, and the least rank of requests to it if others
// are greater, or else -1.
func (c *Catalog) urgency(service string) (shortest time.Duration, first int) {
	first, last := math.MaxInt, math.MinInt
	for i := range c.routes {
		route := &c.routes[i]
		if !slices.ContainsFunc(route.Targets, func(t Target) bool { return t.Service == service }) {
			continue
		}
		if route.Objective > 0 && (shortest == 0 || route.Objective < shortest) {
			shortest = route.Objective
		}
		for _, rank := range c.ranksOf(route) {
			first, last = min(first, rank), max(last, rank)
		}
	}
	if first >= last {
		first = -1
	}
	return shortest, first
}
