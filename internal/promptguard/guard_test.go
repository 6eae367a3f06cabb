package promptguard

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// vm is one VM's guard in a cluster; it implements Peers.
type vm struct {
	*Guard
	cluster *fakeCluster
	metrics *prometheus.Registry
	links   uint64
	cutOff  bool
}

// fakeCluster links guards directly; it implements quarantine.Store.
type fakeCluster struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	roster *roster.Roster
	// received holds when data last came from a runner, to any VM.
	received map[string]time.Time
	vms      []*vm
	holder   *vm
	stored   map[string]quarantine.Entry
	// failures is the number of calls to the store that fail next, writes that of all writes.
	failures int
	writes   int
	sent     int
	// queue holds the frames on the links.
	queue []func()
}

func newCluster(t *testing.T, vms int) *fakeCluster {
	c := &fakeCluster{
		t:      t,
		clock:  clockwork.NewFakeClock(),
		roster: roster.New(),

		received: make(map[string]time.Time),
		stored:   make(map[string]quarantine.Entry),
	}
	for range vms {
		c.start()
	}
	c.elect(c.vms[0])
	return c
}

// start adds a VM that has read the store.
func (c *fakeCluster) start() *vm {
	v := &vm{
		cluster: c,
		metrics: prometheus.NewRegistry(),
	}
	v.Guard = New(Dependencies{
		Peers:        v,
		Store:        c,
		Roster:       c.roster.View,
		LastReceived: func(runner string) time.Time { return c.received[runner] },
		Metrics:      NewMetrics(v.metrics),
		Clock:        c.clock,
		Logger:       slog.New(slog.DiscardHandler),
	})
	c.vms = append(c.vms, v)
	v.read()
	return v
}

// read has a VM read the store.
func (v *vm) read() {
	entries, err := v.cluster.LoadQuarantine(v.cluster.t.Context())
	require.NoError(v.cluster.t, err)
	v.applyStored(entries)
}

// elect gives a VM the lease, or nobody, and links the others to it.
func (c *fakeCluster) elect(holder *vm) {
	c.holder = holder
	if holder == nil {
		return
	}
	holder.runDuties()
	holder.read()
	for _, v := range c.vms {
		c.link(v)
	}
}

func (c *fakeCluster) link(v *vm) {
	if v == c.holder || v.cutOff {
		return
	}
	v.links++
	v.ReceiveStatus(c.holder.Status())
	c.holder.ReceiveEvidence(v.Evidence())
}

// deliver delivers the frames on the links.
func (c *fakeCluster) deliver() {
	for len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		next()
	}
}

// settle has the VMs do what their loops do.
func (c *fakeCluster) settle() {
	c.deliver()
	defer c.deliver()
	for _, v := range c.vms {
		v.publishOnce()
		for section, ok := v.nextUnsaved(); ok; section, ok = v.nextUnsaved() {
			require.NoError(c.t, v.saveSection(c.t.Context(), section))
		}
	}
}

// pass lets time pass.
func (c *fakeCluster) pass(d time.Duration) {
	for step := min(d, time.Second); d > 0; d -= step {
		c.clock.Advance(min(step, d))
		for _, v := range c.vms {
			v.runDuties()
		}
		c.settle()
	}
}

func (v *vm) HoldsLease() bool { return v.cluster.holder == v }
func (v *vm) Tenure() uint64   { return 1 }
func (v *vm) LinkedToHolder() (uint64, bool) {
	return v.links, !v.cutOff && v.cluster.holder != nil && v.cluster.holder != v
}

func (v *vm) SendEvidence(e quarantine.Evidence) {
	if _, linked := v.LinkedToHolder(); linked {
		v.cluster.sent++
		v.cluster.queue = append(v.cluster.queue, func() { v.cluster.holder.ReceiveEvidence(e) })
	}
}

func (v *vm) BroadcastQuarantine(s quarantine.Status) {
	for _, other := range v.cluster.vms {
		if other != v && !other.cutOff {
			v.cluster.queue = append(v.cluster.queue, func() { other.ReceiveStatus(s) })
		}
	}
}

func (c *fakeCluster) LoadQuarantine(context.Context) ([]quarantine.Entry, error) {
	return slices.Collect(maps.Values(c.stored)), c.fail()
}

func (c *fakeCluster) SaveQuarantine(_ context.Context, e quarantine.Entry) error {
	c.writes++
	c.stored[e.Section] = e
	return c.fail()
}

func (c *fakeCluster) DeleteQuarantine(_ context.Context, section string) error {
	c.writes++
	delete(c.stored, section)
	return c.fail()
}

func (c *fakeCluster) fail() error {
	if c.failures > 0 {
		c.failures--
		return &logservice.UnavailableError{Stream: "quarantine"}
	}
	return nil
}

// values returns the values of a VM's metrics.
func (v *vm) values(t *testing.T) map[string]float64 {
	t.Helper()
	families, err := v.metrics.Gather()
	require.NoError(t, err)
	values := make(map[string]float64)
	for _, family := range families {
		metric := family.GetMetric()[0]
		values[family.GetName()] = metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
	}
	return values
}

// prompt returns the sections of a prompt, whose last one is the request's own.
func prompt(ids ...string) []dispatch.PromptSection {
	var sections []dispatch.PromptSection
	for _, id := range append(ids, "own") {
		sections = append(sections, dispatch.PromptSection{
			ID:     id,
			Tokens: 100,
		})
	}
	return sections
}

// crash has a request of a VM break off at a runner.
func (c *fakeCluster) crash(v *vm, runner string, ids ...string) {
	sentAt := c.clock.Now()
	c.pass(time.Second)
	v.RecordStrike(&roster.Runner{ID: runner}, prompt(ids...), quarantine.NewProgress(sentAt), c.clock.Now())
	c.settle()
}

// answer has a request of a VM answered.
func (c *fakeCluster) answer(v *vm, ids ...string) {
	sentAt := c.clock.Now()
	c.pass(time.Second)
	v.RecordAnswer(prompt(ids...), quarantine.NewProgress(sentAt).WithEnd(c.clock.Now()))
	c.settle()
}

// quarantined returns how many of the VMs refuse a prompt.
func (c *fakeCluster) quarantined(ids ...string) int {
	refusing := 0
	for _, v := range c.vms {
		if _, refused := v.Quarantined(prompt(ids...)); refused {
			refusing++
		}
	}
	return refusing
}

// convict has three runners crash at requests of different VMs.
func (c *fakeCluster) convict(section string) {
	for i, runner := range []string{"r1", "r2", "r3"} {
		c.crash(c.vms[(i+1)%len(c.vms)], runner, section, "sound-"+runner)
	}
}

func TestSectionIsRefusedOnAllVMs(t *testing.T) {
	c := newCluster(t, 4)
	c.crash(c.vms[1], "r1", "popular", "deadly")
	require.False(t, c.vms[3].Suspected(prompt("deadly")))
	c.crash(c.vms[2], "r2", "popular", "deadly")
	require.True(t, c.vms[3].Suspected(prompt("popular", "deadly")))
	require.Zero(t, c.quarantined("deadly"))
	c.answer(c.vms[3], "popular")
	require.False(t, c.vms[1].Suspected(prompt("popular")))
	require.True(t, c.vms[1].Suspected(prompt("deadly")))
	c.crash(c.vms[0], "r3", "popular", "deadly")
	require.Equal(t, 4, c.quarantined("popular", "deadly"))
	require.Zero(t, c.quarantined("popular"))
	require.Equal(t, map[string]float64{
		"cowsliparch_quarantine_refused_total": 1,
		"cowsliparch_section_strikes_total":    1,
		"cowsliparch_sections_quarantined":     1,
	}, c.vms[2].values(t))
	id, _ := c.vms[0].Quarantined(prompt("popular", "deadly"))
	require.Equal(t, "deadly", id)
}

// A request's own section does not count, nor one without an ID.
func TestUntrackedSections(t *testing.T) {
	c := newCluster(t, 2)
	for _, runner := range []string{"r1", "r2", "r3", "r4"} {
		c.crash(c.vms[1], runner)
		c.crash(c.vms[1], runner, "", "")
	}
	require.Zero(t, c.sent)
	require.Zero(t, c.quarantined("own"))
	_, refused := c.vms[0].Quarantined(nil)
	require.False(t, refused)
}

func TestAnswersAreReportedOnlyIfTheyMatter(t *testing.T) {
	c := newCluster(t, 2)
	c.answer(c.vms[1], "a")
	require.Zero(t, c.sent)
	c.crash(c.vms[1], "r1", "a")
	sent := c.sent
	for range 10 {
		c.vms[1].RecordAnswer(prompt("a"), quarantine.NewProgress(c.clock.Now()).WithEnd(c.clock.Now()))
	}
	require.Equal(t, sent+1, c.sent)
}
