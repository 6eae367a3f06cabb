package configcheck_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/configcheck"
)

// key is an API key that no output may contain.
const key = "sk-4f1d9c"

// content is what a test configuration is made of.
type content struct {
	version  uint64
	limits   catalog.Limits
	routes   []catalog.Route
	services []catalog.Service
	accounts []catalog.Account
}

func (c content) catalog() *catalog.Catalog {
	return catalog.New(c.version, c.limits, c.routes, c.services).WithAccounts(c.accounts)
}

// soundContent returns a configuration without findings.
func soundContent() content {
	return content{
		version: 3,
		limits: catalog.Limits{
			HeaderTimeout: 3 * time.Second,
			IdleTimeout:   15 * time.Second,
		},
		routes: []catalog.Route{{
			Name:        "chat",
			Host:        "h",
			PathPrefix:  "/chat/",
			Kind:        catalog.Streaming,
			Timeout:     10 * time.Second,
			Objective:   400 * time.Millisecond,
			MaxEventGap: 200 * time.Millisecond,
			MaxAttempts: 1,
			Targets:     []catalog.Target{{Service: "models", Weight: 1}},
		}},
		services: []catalog.Service{{
			Name: "models",
			Engine: &catalog.Engine{
				Slots:        16,
				WeightsMB:    1000,
				AdapterSlots: 2,
				Models: []catalog.Model{
					{Name: "small", WeightsMB: 300, Adapters: 5, AdapterMB: 50},
					{Name: "large", WeightsMB: 900},
				},
			},
		}},
		accounts: []catalog.Account{{
			Name:  "desk",
			Keys:  []catalog.KeyDigest{catalog.DigestKey(key)},
			Quota: catalog.Quota{Rate: 1900, Burst: 3000, CountsTokens: true, PlainTokens: 1200},
		}},
	}
}

// Guards against findings about a configuration that is as it should be, and about the limits being exactly met.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	require.Empty(t, configcheck.Check(soundContent().catalog()))
	edge := soundContent()
	edge.limits.HeaderTimeout = edge.limits.IdleTimeout
	edge.routes[0].Objective = edge.routes[0].Timeout
	edge.routes[0].MaxEventGap = edge.routes[0].Timeout
	edge.routes[0].PathPrefix = "/"
	edge.accounts[0].Quota.Rate = 1200
	edge.accounts[0].Quota.Burst = 1200
	edge.accounts = append(edge.accounts, catalog.Account{
		Name:  "hall",
		Keys:  []catalog.KeyDigest{catalog.DigestKey("k2"), catalog.DigestKey("k2")},
		Quota: catalog.Quota{Rate: 0.5, Burst: 1},
	})
	require.Empty(t, configcheck.Check(edge.catalog()))
	require.Empty(t, configcheck.Check(content{version: 1}.catalog()))
}

// fault is a change to a sound configuration that gives it one finding.
type fault struct {
	code  configcheck.Code
	entry string
	spoil func(c *content)
}

func newFault(code configcheck.Code, entry string, spoil func(c *content)) fault {
	return fault{
		code:  code,
		entry: entry,
		spoil: spoil,
	}
}

// Guards against each fault being missed, reported under another code, for another entry or more than once, and against a key in what is
// reported.
func TestFaultsAreFound(t *testing.T) {
	for _, tt := range []fault{
		newFault(configcheck.RepeatedRoute, "route chat", func(c *content) {
			c.routes = append(c.routes, c.routes[0])
			c.routes[1].PathPrefix = "/other/"
		}),
		newFault(configcheck.HiddenRoute, "route second", func(c *content) {
			c.routes = append(c.routes, c.routes[0])
			c.routes[1].Name, c.routes[1].Host = "second", "H"
		}),
		newFault(configcheck.PrefixWithoutSlash, "route chat", func(c *content) { c.routes[0].PathPrefix = "/chat" }),
		newFault(configcheck.PrefixWithoutSlash, "route chat", func(c *content) { c.routes[0].PathPrefix = "chat/" }),
		newFault(configcheck.PrefixWithoutSlash, "route chat", func(c *content) { c.routes[0].PathPrefix = "" }),
		newFault(configcheck.NoTimeout, "route number 1", func(c *content) { c.routes[0].Name, c.routes[0].Timeout = "", 0 }),
		newFault(configcheck.ObjectiveTooLong, "route chat", func(c *content) { c.routes[0].Objective = 11 * time.Second }),
		newFault(configcheck.EventGapTooLong, "route chat", func(c *content) { c.routes[0].MaxEventGap = 11 * time.Second }),
		newFault(configcheck.UnknownTarget, "route chat", func(c *content) {
			missing := catalog.Target{Service: "missing", Weight: 1}
			c.routes[0].Targets = append(c.routes[0].Targets, missing, missing)
		}),
		newFault(configcheck.NoWeight, "route chat", func(c *content) { c.routes[0].Targets[0].Weight = 0 }),
		newFault(configcheck.NegativeWeight, "route chat", func(c *content) {
			c.routes[0].Targets = append(c.routes[0].Targets, catalog.Target{Service: "models", Weight: -1})
		}),
		newFault(configcheck.RepeatedService, "service models", func(c *content) { c.services = append(c.services, c.services[0]) }),
		newFault(configcheck.UnreachedService, "service alone", func(c *content) { c.services = append(c.services, catalog.Service{Name: "alone"}) }),
		newFault(configcheck.NoModels, "service models", func(c *content) { c.services[0].Engine.Models = nil }),
		newFault(configcheck.RepeatedModel, "service models, model small", func(c *content) { c.services[0].Engine.Models[1].Name = "small" }),
		newFault(configcheck.ModelTooLarge, "service models, model large", func(c *content) { c.services[0].Engine.Models[1].WeightsMB = 901 }),
		newFault(configcheck.RepeatedAccount, "account desk", func(c *content) {
			c.accounts = append(c.accounts, c.accounts[0])
			c.accounts[1].Keys = []catalog.KeyDigest{catalog.DigestKey("k2")}
		}),
		newFault(configcheck.NoKeys, "account desk", func(c *content) { c.accounts[0].Keys = nil }),
		newFault(configcheck.SharedKey, "account hall", func(c *content) {
			c.accounts = append(c.accounts, c.accounts[0])
			c.accounts[1].Name = "hall"
		}),
		newFault(configcheck.NoBurst, "account desk", func(c *content) { c.accounts[0].Quota.Burst = 0 }),
		newFault(configcheck.BurstTooSmall, "account desk", func(c *content) { c.accounts[0].Quota.Burst = 1199 }),
		newFault(configcheck.BurstTooSmall, "account desk", func(c *content) { c.accounts[0].Quota = catalog.Quota{Rate: 5, Burst: 0.9} }),
		newFault(configcheck.BurstWithoutRate, "account desk", func(c *content) { c.accounts[0].Quota.Rate = 0 }),
		newFault(configcheck.RateTooSmall, "account desk", func(c *content) { c.accounts[0].Quota.Rate = 1199 }),
		newFault(configcheck.NoPlainCost, "account desk", func(c *content) { c.accounts[0].Quota.PlainTokens = 0 }),
		newFault(configcheck.HeaderTimeoutTooLong, "limits", func(c *content) { c.limits.HeaderTimeout = 16 * time.Second }),
	} {
		t.Run(string(tt.code), func(t *testing.T) {
			spoilt := soundContent()
			tt.spoil(&spoilt)
			findings := configcheck.Check(spoilt.catalog())
			require.Len(t, findings, 1, "%v", findings)
			require.Equal(t, tt.code, findings[0].Code)
			require.Equal(t, tt.entry, findings[0].Entry)
			require.Equal(t, configcheck.Warning, findings[0].Severity, "VMs accept it")
			require.Regexp(t, `^[A-Z0-9].*\.$`, findings[0].Message)
			require.NotContains(t, fmt.Sprint(findings), key)
		})
	}
}

// Guards against a version that VMs ignore, because they have one that is as new, being taken for a change.
func TestVersionMustBeNewer(t *testing.T) {
	inForce := soundContent().catalog()
	for version, isNewer := range map[uint64]bool{2: false, 3: false, 4: true} {
		next := soundContent()
		next.version = version
		findings := configcheck.CheckSuccessor(next.catalog(), inForce)
		if isNewer {
			require.Empty(t, findings)
			continue
		}
		require.Len(t, findings, 1)
		require.Equal(t, configcheck.NotNewer, findings[0].Code)
		require.Equal(t, configcheck.Error, findings[0].Severity)
	}
}

// Guards against an order that changes between runs, errors below warnings, and reports that grow with the configuration.
func TestReportIsSortedAndBounded(t *testing.T) {
	var all []configcheck.Finding
	for i := range 1000 {
		all = append(all, configcheck.Finding{
			Severity: configcheck.Warning,
			Code:     configcheck.NoTimeout,
			Entry:    fmt.Sprintf("route %04d", i),
		})
	}
	all[999].Severity = configcheck.Error
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	report := configcheck.NewReport(3, all)
	require.Equal(t, 1, report.Errors)
	require.Equal(t, 999, report.Warnings)
	require.Len(t, report.Findings, 200)
	require.Equal(t, 800, report.OmittedFindings)
	require.Equal(t, "route 0999", report.Findings[0].Entry)
	require.Equal(t, "route 0000", report.Findings[1].Entry)
	require.Equal(t, "route 0198", report.Findings[199].Entry)
	compared := report.WithDifferences(2, make([]configcheck.Difference, 201)).Compared
	require.Len(t, compared.Differences, 200)
	require.Equal(t, 1, compared.OmittedDifferences)
}

// Guards against names that control the terminal or fill it.
func TestNamesAreShownSafely(t *testing.T) {
	require.Equal(t, `route "\x1b[2J"`, configcheck.EntryName("route", "\x1b[2J", 0))
	long := soundContent()
	for range 10000 {
		long.routes[0].Name += "x"
	}
	long.routes[0].Timeout = 0
	require.Less(t, len(fmt.Sprint(configcheck.Check(long.catalog()))), 400)
}
