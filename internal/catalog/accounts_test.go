package catalog_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

func account(name string, priority *int, keys ...string) catalog.Account {
	a := catalog.Account{
		Name:     name,
		Priority: priority,
	}
	for _, key := range keys {
		a.Keys = append(a.Keys, catalog.DigestKey(key))
	}
	return a
}

func routeTo(service string, priority int) catalog.Route {
	return catalog.Route{
		Name:     fmt.Sprintf("%s-%d", service, priority),
		Priority: priority,
		Targets:  []catalog.Target{{Service: service, Weight: 1}},
	}
}

func withRoutes(routes ...catalog.Route) *catalog.Catalog {
	return catalog.New(1, catalog.Limits{}, routes, []catalog.Service{{Name: "s"}, {Name: "other"}})
}

// Guards against a key that finds another account, and against the empty key of a request without one finding any.
func TestAccountIsFoundByItsKeysOnly(t *testing.T) {
	c := withRoutes().WithAccounts([]catalog.Account{account("a", nil, "k1", "k2"), account("b", nil, "k3", "k1", ""), account("c", nil)})
	for key, name := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		found, ok := c.Account(catalog.DigestKey(key))
		require.True(t, ok, key)
		require.Equal(t, name, found.Name, "a key of two accounts belongs to the first")
	}
	for _, key := range []string{"", "k", "k11", "K1", "k1 "} {
		_, ok := c.Account(catalog.DigestKey(key))
		require.False(t, ok, key)
	}
}

// Guards against keys, or digests from which short keys can be found, in logs, errors and dumps of structs.
func TestKeysAreNotPrinted(t *testing.T) {
	const key = "secret-key"
	a := account("a", nil, key)
	var log bytes.Buffer
	slog.New(slog.NewJSONHandler(&log, nil)).Info("x", slog.Any("Account", a), slog.Any("Key", a.Keys[0]))
	slog.New(slog.NewTextHandler(&log, nil)).Info("x", slog.Any("Account", a), slog.Any("Key", a.Keys[0]))
	encoded, err := json.Marshal(a)
	require.NoError(t, err)
	for _, text := range []string{
		log.String(), string(encoded), fmt.Sprint(a), fmt.Sprintf("%+v", &a), fmt.Sprintf("%#v", a), fmt.Sprintf("%x", a.Keys),
	} {
		require.NotContains(t, text, key)
	}
	require.Equal(t, "(API key)", fmt.Sprintf("%d", a.Keys[0]))
	require.NotContains(t, fmt.Sprintf("%#v", a), "0x")
}

// Guards against an account's priority being outweighed by that of a route, and against ranks that runners don't accept.
func TestAccountsPriorityComesBeforeTheRoutes(t *testing.T) {
	routes := []catalog.Route{routeTo("s", 0), routeTo("s", 4)}
	accounts := []catalog.Account{account("first", new(2)), account("second", new(5)), account("none", nil)}
	c := withRoutes(routes...).WithAccounts(accounts)
	ranks := func(a *catalog.Account) []int {
		return []int{c.Rank(&routes[0], a), c.Rank(&routes[1], a)}
	}
	require.Equal(t, []int{0, 1}, ranks(&accounts[0]))
	require.Equal(t, []int{2, 3}, ranks(&accounts[1]))
	require.Equal(t, []int{0, 1}, ranks(&accounts[2]), "without a priority, an account ranks with the most urgent ones")
}

// Guards against requests without an account taking a rank of their own where no route allows them, or ranking behind all accounts
// where one does.
func TestAnonymousRequestsRankByTheirRoute(t *testing.T) {
	open := routeTo("s", 1)
	open.AllowAnonymous = true
	routes := []catalog.Route{routeTo("s", 0), open}
	accounts := []catalog.Account{account("a", new(3))}
	c := withRoutes(routes...).WithAccounts(accounts)
	require.Equal(t, 0, c.Rank(&routes[0], &accounts[0]))
	require.Equal(t, 1, c.Rank(&routes[1], &accounts[0]))
	require.Equal(t, 1, c.Rank(&routes[1], nil))
}

// Guards against ranks above 9, which runners do not accept, and against a service whose requests all have the last rank being taken for
// one with urgent requests.
func TestPairsBeyondTheTenthShareTheLastRank(t *testing.T) {
	routes := []catalog.Route{routeTo("s", 0), routeTo("other", 1)}
	var accounts []catalog.Account
	for i := range 8 {
		accounts = append(accounts, account(fmt.Sprint(i), new(i*10)))
	}
	c := withRoutes(routes...).WithAccounts(accounts)
	var ranks []int
	for i := range accounts {
		ranks = append(ranks, c.Rank(&routes[0], &accounts[i]), c.Rank(&routes[1], &accounts[i]))
	}
	require.Equal(t, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9, 9, 9, 9, 9}, ranks)
}

// Guards against the most urgent requests of a service being refused early because only routes' priorities are compared.
func TestUrgencyOfServiceCountsAccounts(t *testing.T) {
	routes := []catalog.Route{routeTo("s", 0), routeTo("other", 1)}
	first := func(c *catalog.Catalog, name string) int {
		service, ok := c.Service(name)
		require.True(t, ok)
		return service.FirstPriority
	}
	c := withRoutes(routes...)
	require.Equal(t, -1, first(c, "s"))
	require.Equal(t, -1, first(c, "other"))
	c = c.WithAccounts([]catalog.Account{account("a", new(0)), account("b", new(1))})
	require.Equal(t, 0, first(c, "s"))
	require.Equal(t, 1, first(c, "other"))
	c = c.WithAccounts([]catalog.Account{account("a", nil), account("b", nil)})
	require.Equal(t, -1, first(c, "s"), "all requests are equally urgent")
}

// Guards against a change of what is sent and refused where no accounts are configured.
func TestWithoutAccountsRoutesRankAlone(t *testing.T) {
	routes := []catalog.Route{routeTo("s", 12), routeTo("s", 30), routeTo("other", -2)}
	for _, c := range []*catalog.Catalog{withRoutes(routes...), withRoutes(routes...).WithAccounts(nil)} {
		require.False(t, c.HasAccounts())
		for i := range routes {
			require.Equal(t, routes[i].Priority, c.Rank(&routes[i], nil))
		}
		service, _ := c.Service("s")
		require.Equal(t, 12, service.FirstPriority)
	}
}
