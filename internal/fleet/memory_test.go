package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/fleet"
	"github.com/cowsliparch/cowsliparch/internal/lease"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

const (
	shard    = "shard"
	engine   = "engine"
	capacity = 2
	bound    = 30 * time.Second
	term     = 10 * time.Second
	margin   = 2 * time.Second
)

// variant breaks one rule on purpose, to show that the check can fail.
type variant int

const (
	sound variant = iota
	// restartSettles takes an engine's restart alone as the end of an order.
	restartSettles
	// ownIntentsOnly makes a successor ignore its predecessor's open orders.
	ownIntentsOnly
	// unloadFreesAtSend counts an unload's memory as free before a report shows it.
	unloadFreesAtSend
	// forgottenFence takes a higher fencing number as the end of an order at an engine that forgets it in a restart.
	forgottenFence
)

// flight is an order on its way to the engine.
type flight struct {
	order endpoint.Order
	sent  time.Time
}

// member is one entry VM as the machine sees it.
type member struct {
	name    string
	state   fleet.State
	fence   logservice.Offset
	until   time.Time
	report  endpoint.Report
	checked []ledger.Intent
	sent    []ledger.Intent
	waiting map[string]time.Time
	past    map[string]bool
}

// world drives the real fold, ledger and settlement rules against one engine that carries out whatever reaches it.
type world struct {
	t       *rapid.T
	broken  variant
	fencing configuration.Fencing
	now     time.Time
	records []logservice.Record
	members []*member
	flights []flight

	loaded      []string
	incarnation int
	sequence    uint64
	fence       uint64
	published   endpoint.Report
	breach      string
}

func newWorld(t *rapid.T, broken variant, fencing configuration.Fencing) *world {
	w := &world{
		t:       t,
		broken:  broken,
		fencing: fencing,
		now:     time.Unix(1000, 0),
	}
	for _, name := range []string{"a", "b"} {
		w.members = append(w.members, &member{
			name:    name,
			state:   fleet.New(),
			waiting: make(map[string]time.Time),
			past:    make(map[string]bool),
		})
	}
	w.loaded = rapid.SampledFrom([][]string{nil, {"x"}, {"x", "y"}}).Draw(t, "loaded")
	return w
}

// able returns a member that can act, drawn at random, or skips the action.
func (w *world) able(can func(*member) bool) *member {
	var members []*member
	for _, m := range w.members {
		if can(m) {
			members = append(members, m)
		}
	}
	if len(members) == 0 {
		w.t.Skip("nobody can act")
	}
	return rapid.SampledFrom(members).Draw(w.t, "member")
}

func anyone(*member) bool { return true }

func (w *world) enforces() bool { return w.fencing != configuration.Ignored }

func (w *world) holder(m *member) bool { return w.holds(m, m.fence) }

func (w *world) append(kind record.Kind, body any) (logservice.Offset, string) {
	envelope, err := record.NewWithID(kind, fmt.Sprintf("r%d", len(w.records)), body)
	require.NoError(w.t, err)
	payload, err := envelope.Encode()
	require.NoError(w.t, err)
	offset := logservice.Offset(len(w.records) + 1)
	w.records = append(w.records, logservice.Record{
		Offset:  offset,
		Time:    w.now,
		Payload: payload,
	})
	return offset, envelope.ID
}

// catchUp folds what a member has not read yet.
func (w *world) catchUp(m *member) {
	for _, r := range w.records[m.state.Through():] {
		m.state, _ = m.state.With(r)
	}
}

func (w *world) newReport() endpoint.Report {
	w.sequence++
	r := endpoint.Report{
		Incarnation: fmt.Sprint(w.incarnation),
		Sequence:    w.sequence,
		Fence:       w.fence,
		Accelerators: []endpoint.Accelerator{
			{
				CapacityBytes: capacity,
			},
		},
	}
	for _, model := range w.loaded {
		r.Accelerators[0].Loaded = append(r.Accelerators[0].Loaded, endpoint.Loaded{
			Model: model,
			Bytes: 1,
			Ready: true,
		})
	}
	return r
}

// read takes in the engine's report, which may be older than what has happened since.
func (w *world) read(m *member) {
	if len(w.published.Accelerators) == 0 {
		w.published = w.newReport()
	}
	if m.report.Incarnation != "" && m.report.Incarnation != w.published.Incarnation {
		m.past[m.report.Incarnation] = true
	}
	m.report = w.published
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        w.check,
		"read":    func(*rapid.T) { w.catchUp(w.able(anyone)) },
		"time":    func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second) },
		"claim":   func(*rapid.T) { w.claim(w.able(func(m *member) bool { return !w.holder(m) })) },
		"publish": func(*rapid.T) { w.published = w.newReport() },
		"report":  func(*rapid.T) { w.read(w.able(anyone)) },
		"raise":   func(*rapid.T) { w.raise(w.able(w.holder)) },
		"plan":    func(*rapid.T) { w.plan(w.able(w.holder)) },
		"plan2":   func(*rapid.T) { w.plan(w.able(w.holder)) },
		"send":    func(*rapid.T) { w.send(w.able(func(m *member) bool { return len(m.checked) > 0 })) },
		"deliver": func(*rapid.T) { w.deliver() },
		"lose":    func(*rapid.T) { w.lose() },
		"abandon": func(*rapid.T) { w.abandon(w.able(func(m *member) bool { return len(m.sent) > 0 })) },
		"settle":  func(*rapid.T) { w.settle(w.able(w.holder)) },
		"restart": func(*rapid.T) { w.restart() },
	}
}

func (w *world) check(t *rapid.T) {
	require.Empty(t, w.breach)
}

// advance lets time pass; the network holds nothing back for longer than the bound.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.flights = slices.DeleteFunc(w.flights, func(f flight) bool { return w.now.Sub(f.sent) > bound })
}

func (w *world) claim(m *member) {
	sent := w.now
	offset, _ := w.append(fleet.ClaimKind, lease.Claim{
		Shard:  shard,
		Holder: m.name,
		VM:     m.name,
		Term:   term,
	})
	w.catchUp(m)
	if held, _ := m.state.Leases().Lease(shard); held.Fence == offset {
		m.fence = offset
		m.until = sent.Add(term - margin)
	}
}

func (w *world) holds(m *member, fence logservice.Offset) bool {
	return fence != 0 && m.fence == fence && w.now.Before(m.until)
}

func (w *world) trusted(m *member) bool {
	return !w.enforces() || m.report.Fence == uint64(m.fence)<<16
}

func (w *world) raise(m *member) {
	if !w.enforces() {
		w.t.Skip("the engine ignores fencing")
	}
	if fence := uint64(m.fence) << 16; fence >= w.fence {
		w.fence = fence
	}
	w.published = w.newReport()
	w.read(m)
}

// plan records an intent as a holder would: a load where the ledger has room, or an unload.
func (w *world) plan(m *member) {
	if len(m.report.Accelerators) == 0 || !w.trusted(m) {
		w.t.Skip("no report to plan on")
	}
	w.catchUp(m)
	account := m.state.Ledger().Accounts(engine, m.report, func(incarnation string) bool { return m.past[incarnation] })[0]
	w.weaken(m, &account)
	model := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(w.t, "model")
	status, there := account.Models[model]
	intent := ledger.Intent{
		Shard:       shard,
		Fence:       m.fence,
		Base:        m.state.Ledger().Last(engine),
		Endpoint:    engine,
		Incarnation: m.report.Incarnation,
		Sequence:    m.report.Sequence,
		Model:       model,
		Bytes:       1,
		Sender:      m.name,
		VM:          m.name,
	}
	switch {
	case !there && account.FreeBytes() >= 1:
		intent.Action = endpoint.Load
	case there && status.Certain():
		intent.Action = endpoint.Unload
	default:
		return
	}
	_, id := w.append(fleet.IntentKind, intent)
	w.catchUp(m)
	for _, open := range m.state.Ledger().Open(engine) {
		if open.Intent.ID == id {
			m.checked = append(m.checked, open.Intent)
		}
	}
}

// weaken applies a broken variant to what a member believes.
func (w *world) weaken(m *member, account *ledger.Account) {
	for _, open := range m.state.Ledger().Open(engine) {
		intent := open.Intent
		status := account.Models[intent.Model]
		foreign := w.broken == ownIntentsOnly && intent.Sender != m.name && !status.Present
		freed := w.broken == unloadFreesAtSend && intent.Action == endpoint.Unload
		if foreign || freed {
			account.ReservedBytes -= status.Bytes
			delete(account.Models, intent.Model)
		}
	}
}

// send sends an order whose lease was checked before: the member may have been paused in between for any time.
func (w *world) send(m *member) {
	intent := m.checked[0]
	m.checked = m.checked[1:]
	m.sent = append(m.sent, intent)
	w.flights = append(w.flights, flight{
		order: intent.Order(),
		sent:  w.now,
	})
}

func (w *world) deliver() {
	if len(w.flights) == 0 {
		w.t.Skip("nothing is on its way")
	}
	i := rapid.IntRange(0, len(w.flights)-1).Draw(w.t, "flight")
	order := w.flights[i].order
	w.flights = slices.Delete(w.flights, i, i+1)
	w.sequence++
	if w.enforces() {
		if order.Fence < w.fence {
			return
		}
		w.fence = order.Fence
	}
	w.loaded = slices.DeleteFunc(w.loaded, func(model string) bool { return model == order.Model })
	if order.Action == endpoint.Load {
		w.loaded = append(w.loaded, order.Model)
	}
	if len(w.loaded) > capacity {
		w.breach = fmt.Sprintf("%v are loaded on an accelerator for %d", w.loaded, capacity)
	}
}

func (w *world) lose() {
	if len(w.flights) > 0 {
		i := rapid.IntRange(0, len(w.flights)-1).Draw(w.t, "flight")
		w.flights = slices.Delete(w.flights, i, i+1)
	}
}

func (w *world) abandon(m *member) {
	w.append(fleet.SettleKind, fleet.Settle{
		Abandonments: []ledger.Abandonment{
			{
				Intent: m.sent[0].ID,
			},
		},
	})
	m.sent = m.sent[1:]
}

// settle closes what the rules allow, from the member's own fold and report.
func (w *world) settle(m *member) {
	w.read(m)
	w.catchUp(m)
	var settlements []ledger.Settlement
	for _, open := range m.state.Ledger().Open(engine) {
		s, ok := ledger.Settle(open, ledger.Facts{
			Report:        m.report,
			FencePersists: w.fencing == configuration.Persistent || w.broken == forgottenFence,
			Waited:        w.waited(m, open),
			DeliveryBound: bound,
		})
		if w.broken == restartSettles && m.report.Incarnation != open.Intent.Incarnation {
			ok = true
		}
		if ok {
			settlements = append(settlements, s)
		}
	}
	if len(settlements) > 0 {
		w.append(fleet.SettleKind, fleet.Settle{
			Settlements: settlements,
		})
	}
}

func (w *world) waited(m *member, open ledger.Open) time.Duration {
	if !open.Abandoned {
		return 0
	}
	since, ok := m.waiting[open.Intent.ID]
	if !ok {
		m.waiting[open.Intent.ID] = w.now
		return 0
	}
	return w.now.Sub(since)
}

// restart empties the engine; one that enforces fencing may forget the number.
func (w *world) restart() {
	w.incarnation++
	w.loaded = nil
	if w.fencing != configuration.Persistent {
		w.fence = 0
	}
}

func run(broken variant, fencing configuration.Fencing) func(*rapid.T) {
	return func(t *rapid.T) {
		t.Repeat(newWorld(t, broken, fencing).actions())
	}
}

func TestMemoryIsNeverOvercommitted(t *testing.T) {
	for _, fencing := range []configuration.Fencing{configuration.Ignored, configuration.Enforced, configuration.Persistent} {
		t.Run(string(fencing), func(t *testing.T) { rapid.Check(t, run(sound, fencing)) })
	}
}

// GoString keeps failure traces short.
func (m *member) GoString() string { return m.name }
