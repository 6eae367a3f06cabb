package configcheck_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/configcheck"
)

// changedField is a change to a configuration that gives it one difference.
type changedField struct {
	entry, field, from, to string
	change                 func(c *content)
}

func newChangedField(entry, field, from, to string, change func(c *content)) changedField {
	return changedField{
		entry:  entry,
		field:  field,
		from:   from,
		to:     to,
		change: change,
	}
}

// Guards against changed fields that aren't listed, listed for another entry, or with the wrong values.
func TestChangedFieldsAreListed(t *testing.T) {
	for _, tt := range []changedField{
		newChangedField("limits", "HeaderBytes", "0", "9", func(c *content) { c.limits.HeaderBytes = 9 }),
		newChangedField("limits", "BodyBytes", "0", "9", func(c *content) { c.limits.BodyBytes = 9 }),
		newChangedField("limits", "HeaderTimeout", "3s", "4s", func(c *content) { c.limits.HeaderTimeout = 4 * time.Second }),
		newChangedField("limits", "IdleTimeout", "15s", "4s", func(c *content) { c.limits.IdleTimeout = 4 * time.Second }),
		newChangedField("route chat", "Host", "h", "g", func(c *content) { c.routes[0].Host = "g" }),
		newChangedField("route chat", "PathPrefix", "/chat/", "/", func(c *content) { c.routes[0].PathPrefix = "/" }),
		newChangedField("route chat", "Kind", "Streaming", "Safe", func(c *content) { c.routes[0].Kind = catalog.Safe }),
		newChangedField("route chat", "Resumable", "false", "true", func(c *content) { c.routes[0].Resumable = true }),
		newChangedField("route chat", "Timeout", "10s", "9s", func(c *content) { c.routes[0].Timeout = 9 * time.Second }),
		newChangedField("route chat", "Objective", "400ms", "1s", func(c *content) { c.routes[0].Objective = time.Second }),
		newChangedField("route chat", "MaxEventGap", "200ms", "1s", func(c *content) { c.routes[0].MaxEventGap = time.Second }),
		newChangedField("route chat", "Priority", "0", "2", func(c *content) { c.routes[0].Priority = 2 }),
		newChangedField("route chat", "MaxAttempts", "1", "2", func(c *content) { c.routes[0].MaxAttempts = 2 }),
		newChangedField("route chat", "Targets", "models=1", "models=2", func(c *content) { c.routes[0].Targets[0].Weight = 2 }),
		newChangedField("route chat", "AllowAnonymous", "false", "true", func(c *content) { c.routes[0].AllowAnonymous = true }),
		newChangedField("service models", "MaxConnections", "0", "9", func(c *content) { c.services[0].MaxConnections = 9 }),
		newChangedField("service models", "Slots", "16", "9", func(c *content) { c.services[0].Engine.Slots = 9 }),
		newChangedField("service models", "WeightsMB", "1000", "999.5", func(c *content) { c.services[0].Engine.WeightsMB = 999.5 }),
		newChangedField("service models", "AdapterSlots", "2", "9", func(c *content) { c.services[0].Engine.AdapterSlots = 9 }),
		newChangedField("service models", "KVCacheTokens", "0", "9", func(c *content) { c.services[0].Engine.KVCacheTokens = 9 }),
		newChangedField("service models", "LoadsPerSecond", "0", "0.5", func(c *content) { c.services[0].Engine.LoadsPerSecond = 0.5 }),
		newChangedField("service models", "HostMB", "0", "9", func(c *content) { c.services[0].Engine.HostMB = 9 }),
		newChangedField("service models", "DiskMB", "0", "9", func(c *content) { c.services[0].Engine.DiskMB = 9 }),
		newChangedField("model models/large", "WeightsMB", "900", "9", func(c *content) { c.services[0].Engine.Models[1].WeightsMB = 9 }),
		newChangedField("model models/large", "LoadTime", "0s", "1s", func(c *content) { c.services[0].Engine.Models[1].LoadTime = time.Second }),
		newChangedField("model models/large", "HostLoadTime", "0s", "1s", func(c *content) { c.services[0].Engine.Models[1].HostLoadTime = time.Second }),
		newChangedField("model models/large", "DiskLoadTime", "0s", "1s", func(c *content) { c.services[0].Engine.Models[1].DiskLoadTime = time.Second }),
		newChangedField("model models/large", "Adapters", "0", "9", func(c *content) { c.services[0].Engine.Models[1].Adapters = 9 }),
		newChangedField("model models/large", "AdapterMB", "0", "9", func(c *content) { c.services[0].Engine.Models[1].AdapterMB = 9 }),
		newChangedField("account desk", "Priority", "none", "0", func(c *content) { c.accounts[0].Priority = new(0) }),
		newChangedField("account desk", "Rate", "1900", "9", func(c *content) { c.accounts[0].Quota.Rate = 9 }),
		newChangedField("account desk", "Burst", "3000", "9", func(c *content) { c.accounts[0].Quota.Burst = 9 }),
		newChangedField("account desk", "CountsTokens", "true", "false", func(c *content) { c.accounts[0].Quota.CountsTokens = false }),
		newChangedField("account desk", "PlainTokens", "1200", "9", func(c *content) { c.accounts[0].Quota.PlainTokens = 9 }),
		newChangedField("account desk", "Keys", "1 key", "2 keys (2 added, 1 removed)", func(c *content) {
			c.accounts[0].Keys = []catalog.KeyDigest{catalog.DigestKey(key + "a"), catalog.DigestKey(key + "b"), catalog.DigestKey(key + "a")}
		}),
	} {
		t.Run(tt.entry+" "+tt.field, func(t *testing.T) {
			next := soundContent()
			tt.change(&next)
			differences := configcheck.Compare(soundContent().catalog(), next.catalog())
			require.Equal(t, []configcheck.Difference{{
				Entry:  tt.entry,
				Change: configcheck.Changed,
				Field:  tt.field,
				Old:    tt.from,
				New:    tt.to,
			}}, differences)
			require.NotContains(t, fmt.Sprintf("%+v", differences), key)
		})
	}
}

// Guards against entries that only one version has being missed, and against differences where only the order of routes changed.
func TestAddedAndRemovedEntriesAreListed(t *testing.T) {
	before, after := soundContent(), soundContent()
	before.routes = append(before.routes, catalog.Route{Name: "old"}, catalog.Route{Name: "chat", Host: "second"})
	after.routes = append([]catalog.Route{{Name: "new"}}, after.routes...)
	after.services = append(after.services, catalog.Service{Name: "plain"})
	after.services[0].Engine.Models = after.services[0].Engine.Models[:1]
	after.accounts = []catalog.Account{{Name: "hall"}}
	require.Equal(t, []configcheck.Difference{
		{Entry: "account desk", Change: configcheck.Removed},
		{Entry: "account hall", Change: configcheck.Added},
		{Entry: "model models/large", Change: configcheck.Removed},
		{Entry: "route chat (2)", Change: configcheck.Removed},
		{Entry: "route new", Change: configcheck.Added},
		{Entry: "route old", Change: configcheck.Removed},
		{Entry: "service plain", Change: configcheck.Added},
	}, configcheck.Compare(before.catalog(), after.catalog()))
	require.Empty(t, configcheck.Compare(before.catalog(), before.catalog()))
}

// Guards against a deployment without a configuration stopping the comparison.
func TestEverythingIsAddedToNothing(t *testing.T) {
	differences := configcheck.Compare(nil, soundContent().catalog())
	isAdded := func(d configcheck.Difference) bool { return d.Change == configcheck.Added }
	require.Len(t, slices.DeleteFunc(slices.Clone(differences), func(d configcheck.Difference) bool { return !isAdded(d) }), 5)
	require.Contains(t, differences, configcheck.Difference{Entry: "account desk", Change: configcheck.Added})
}
