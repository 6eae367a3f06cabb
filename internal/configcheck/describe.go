package configcheck

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// entries is the content of a version in the form that Compare compares.
type entries map[identity]entry

// add adds an entry; those of the same kind and name are told apart by their order.
func (e entries) add(kind, name string, index int, added entry) {
	id := identity{
		kind: kind,
		name: name,
	}
	for {
		if _, taken := e[id]; !taken {
			break
		}
		id.n++
	}
	added.name = kind
	if kind != "limits" {
		added.name = EntryName(kind, name, index)
	}
	if id.n > 0 && name != "" {
		added.name += " (" + strconv.Itoa(id.n+1) + ")"
	}
	e[id] = added
}

func describe(c *catalog.Catalog) entries {
	all := make(entries)
	all.add("limits", "", 0, newEntry(limitFields(c.Limits)))
	for i := range c.Routes() {
		route := &c.Routes()[i]
		all.add("route", route.Name, i, newEntry(routeFields(route)))
	}
	for name, service := range c.Services() {
		all.add("service", name, 0, newEntry(serviceFields(service)))
		if service.Engine == nil {
			continue
		}
		for i := range service.Engine.Models {
			model := &service.Engine.Models[i]
			all.add("model", name+"/"+model.Name, i, newEntry(modelFields(model)))
		}
	}
	for i := range c.Accounts() {
		account := &c.Accounts()[i]
		described := newEntry(accountFields(account))
		for _, key := range account.Keys {
			described.keys[key] = true
		}
		all.add("account", account.Name, i, described)
	}
	return all
}

func newEntry(fields []field) entry {
	return entry{
		fields: fields,
		keys:   make(map[catalog.KeyDigest]bool),
	}
}

// newField returns a field with the text of its value.
func newField(name string, value any) field {
	return field{
		name:  name,
		value: fmt.Sprint(value),
	}
}

func limitFields(l catalog.Limits) []field {
	return []field{
		newField("HeaderBytes", l.HeaderBytes),
		newField("BodyBytes", l.BodyBytes),
		newField("HeaderTimeout", l.HeaderTimeout),
		newField("IdleTimeout", l.IdleTimeout),
	}
}

func routeFields(r *catalog.Route) []field {
	targets := make([]string, 0, len(r.Targets))
	for _, target := range r.Targets {
		targets = append(targets, target.Service+"="+strconv.Itoa(target.Weight))
	}
	return []field{
		newField("Host", r.Host),
		newField("PathPrefix", r.PathPrefix),
		newField("Kind", r.Kind),
		newField("Resumable", r.Resumable),
		newField("Timeout", r.Timeout),
		newField("Objective", r.Objective),
		newField("MaxEventGap", r.MaxEventGap),
		newField("Priority", r.Priority),
		newField("MaxAttempts", r.MaxAttempts),
		newField("Targets", strings.Join(targets, ", ")),
		newField("AllowAnonymous", r.AllowAnonymous),
	}
}

func serviceFields(s catalog.Service) []field {
	engine := s.Engine
	if engine == nil {
		engine = &catalog.Engine{}
	}
	return []field{
		newField("MaxConnections", s.MaxConnections),
		newField("HasEngine", s.Engine != nil),
		newField("Slots", engine.Slots),
		newField("WeightsMB", engine.WeightsMB),
		newField("AdapterSlots", engine.AdapterSlots),
		newField("KVCacheTokens", engine.KVCacheTokens),
		newField("LoadsPerSecond", engine.LoadsPerSecond),
		newField("HostMB", engine.HostMB),
		newField("DiskMB", engine.DiskMB),
	}
}

func modelFields(m *catalog.Model) []field {
	return []field{
		newField("WeightsMB", m.WeightsMB),
		newField("LoadTime", m.LoadTime),
		newField("HostLoadTime", m.HostLoadTime),
		newField("DiskLoadTime", m.DiskLoadTime),
		newField("Adapters", m.Adapters),
		newField("AdapterMB", m.AdapterMB),
	}
}

func accountFields(a *catalog.Account) []field {
	priority := "none"
	if a.Priority != nil {
		priority = strconv.Itoa(*a.Priority)
	}
	return []field{
		newField("Priority", priority),
		newField("Rate", a.Quota.Rate),
		newField("Burst", a.Quota.Burst),
		newField("CountsTokens", a.Quota.CountsTokens),
		newField("PlainTokens", a.Quota.PlainTokens),
	}
}
