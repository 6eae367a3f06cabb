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
	shard         = "shard"
	engine        = "engine"
	capacity      = 2
	deliveryBound = 30 * time.Second
	term          = 10 * time.Second
	margin        = 2 * time.Second
)

// mutation breaks one rule on purpose, to show that the check detects it.
type mutation int

const (
	noMutation mutation = iota
	// settlesOnRestart settles orders as soon as the engine has restarted.
	settlesOnRestart
	// ignoresForeignOrders makes a new holder ignore the open orders of the previous one.
	ignoresForeignOrders
	// freesMemoryOnUnloadIntent counts an unload's memory as free before a report shows it.
	freesMemoryOnUnloadIntent
	// settlesOnVolatileFence settles orders by a higher fencing token at an engine that forgets the token in a restart.
	settlesOnVolatileFence
)

// inFlightOrder is an order that was sent but has not reached the engine yet.
type inFlightOrder struct {
	order endpoint.Order
	sent  time.Time
}

// entryVM is the simulated state of one entry VM.
type entryVM struct {
	name  string
	state fleet.State
	// fence and sendUntil are those of the last lease that the VM got.
	fence     logservice.Offset
	sendUntil time.Time
	report    endpoint.Report
	// unsent has the orders whose lease was checked but which are not sent yet.
	unsent         []ledger.Intent
	sent           []ledger.Intent
	abandonedSince map[string]time.Time
	ended          map[string]bool
}

// simulation runs the real state, ledger and settlement rules against one engine that carries out every order that
// reaches it.
type simulation struct {
	t        *rapid.T
	mutation mutation
	fencing  configuration.Fencing
	now      time.Time
	records  []logservice.Record
	vms      []*entryVM
	inFlight []inFlightOrder

	loaded      []string
	incarnation int
	sequence    uint64
	engineFence uint64
	// published is the engine's last report, which may be outdated.
	published endpoint.Report
	violation string
}

func newSimulation(t *rapid.T, mutated mutation, fencing configuration.Fencing) *simulation {
	s := &simulation{
		t:        t,
		mutation: mutated,
		fencing:  fencing,
		now:      time.Unix(1000, 0),
	}
	for _, name := range []string{"a", "b"} {
		s.vms = append(s.vms, &entryVM{
			name:           name,
			state:          fleet.New(),
			abandonedSince: make(map[string]time.Time),
			ended:          make(map[string]bool),
		})
	}
	s.loaded = rapid.SampledFrom([][]string{nil, {"x"}, {"x", "y"}}).Draw(t, "loaded")
	return s
}

// drawVM returns a random VM among the eligible ones, or skips the action if there is none.
func (s *simulation) drawVM(eligible func(*entryVM) bool) *entryVM {
	var candidates []*entryVM
	for _, vm := range s.vms {
		if eligible(vm) {
			candidates = append(candidates, vm)
		}
	}
	if len(candidates) == 0 {
		s.t.Skip("no VM can act")
	}
	return rapid.SampledFrom(candidates).Draw(s.t, "member")
}

func anyVM(*entryVM) bool { return true }

func (s *simulation) enforcesFencing() bool { return s.fencing != configuration.Ignored }

func (s *simulation) isHolder(vm *entryVM) bool { return s.maySend(vm, vm.fence) }

func (s *simulation) append(kind record.Kind, body any) (logservice.Offset, string) {
	envelope, err := record.NewWithID(kind, fmt.Sprintf("r%d", len(s.records)), body)
	require.NoError(s.t, err)
	payload, err := envelope.Encode()
	require.NoError(s.t, err)
	offset := logservice.Offset(len(s.records) + 1)
	s.records = append(s.records, logservice.Record{
		Offset:  offset,
		Time:    s.now,
		Payload: payload,
	})
	return offset, envelope.ID
}

// catchUp applies the records that a VM has not read yet.
func (s *simulation) catchUp(vm *entryVM) {
	for _, r := range s.records[vm.state.LastOffset():] {
		vm.state, _ = vm.state.Apply(r)
	}
}

func (s *simulation) newReport() endpoint.Report {
	s.sequence++
	r := endpoint.Report{
		Incarnation: fmt.Sprint(s.incarnation),
		Sequence:    s.sequence,
		Fence:       s.engineFence,
		Accelerators: []endpoint.Accelerator{
			{
				CapacityBytes: capacity,
			},
		},
	}
	for _, model := range s.loaded {
		r.Accelerators[0].Loaded = append(r.Accelerators[0].Loaded, endpoint.LoadedModel{
			Model: model,
			Bytes: 1,
			Ready: true,
		})
	}
	return r
}

// receiveReport gives a VM the engine's last published report, which may be outdated.
func (s *simulation) receiveReport(vm *entryVM) {
	if len(s.published.Accelerators) == 0 {
		s.published = s.newReport()
	}
	if vm.report.Incarnation != "" && vm.report.Incarnation != s.published.Incarnation {
		vm.ended[vm.report.Incarnation] = true
	}
	vm.report = s.published
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        s.check,
		"read":    func(*rapid.T) { s.catchUp(s.drawVM(anyVM)) },
		"time":    func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second) },
		"claim":   func(*rapid.T) { s.claim(s.drawVM(func(vm *entryVM) bool { return !s.isHolder(vm) })) },
		"publish": func(*rapid.T) { s.published = s.newReport() },
		"report":  func(*rapid.T) { s.receiveReport(s.drawVM(anyVM)) },
		"raise":   func(*rapid.T) { s.raiseFence(s.drawVM(s.isHolder)) },
		"plan":    func(*rapid.T) { s.plan(s.drawVM(s.isHolder)) },
		"plan2":   func(*rapid.T) { s.plan(s.drawVM(s.isHolder)) },
		"send":    func(*rapid.T) { s.send(s.drawVM(func(vm *entryVM) bool { return len(vm.unsent) > 0 })) },
		"deliver": func(*rapid.T) { s.deliver() },
		"lose":    func(*rapid.T) { s.drop() },
		"abandon": func(*rapid.T) { s.abandon(s.drawVM(func(vm *entryVM) bool { return len(vm.sent) > 0 })) },
		"settle":  func(*rapid.T) { s.settle(s.drawVM(s.isHolder)) },
		"restart": func(*rapid.T) { s.restart() },
	}
}

func (s *simulation) check(t *rapid.T) {
	require.Empty(t, s.violation)
}

// advance lets time pass and drops orders that have been in flight for longer than the delivery bound.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightOrder) bool { return s.now.Sub(f.sent) > deliveryBound })
}

func (s *simulation) claim(vm *entryVM) {
	sent := s.now
	offset, _ := s.append(fleet.ClaimKind, lease.Claim{
		Shard:  shard,
		Holder: vm.name,
		VM:     vm.name,
		Term:   term,
	})
	s.catchUp(vm)
	if current, _ := vm.state.Leases().Lease(shard); current.Fence == offset {
		vm.fence = offset
		vm.sendUntil = sent.Add(term - margin)
	}
}

func (s *simulation) maySend(vm *entryVM, fence logservice.Offset) bool {
	return fence != 0 && vm.fence == fence && s.now.Before(vm.sendUntil)
}

func (s *simulation) trustsReport(vm *entryVM) bool {
	return !s.enforcesFencing() || vm.report.Fence == uint64(vm.fence)<<16
}

func (s *simulation) raiseFence(vm *entryVM) {
	if !s.enforcesFencing() {
		s.t.Skip("the engine ignores fencing")
	}
	if fence := uint64(vm.fence) << 16; fence >= s.engineFence {
		s.engineFence = fence
	}
	s.published = s.newReport()
	s.receiveReport(vm)
}

// plan records an intent as a lease holder would: a load if the ledger shows free memory, or an unload.
func (s *simulation) plan(vm *entryVM) {
	if len(vm.report.Accelerators) == 0 || !s.trustsReport(vm) {
		s.t.Skip("no report to plan on")
	}
	s.catchUp(vm)
	memory := vm.state.Ledger().Accelerators(engine, vm.report, func(incarnation string) bool { return vm.ended[incarnation] })[0]
	s.applyMutation(vm, &memory)
	model := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(s.t, "model")
	status, listed := memory.Models[model]
	intent := ledger.Intent{
		Shard:       shard,
		Fence:       vm.fence,
		Base:        vm.state.Ledger().Last(engine),
		Endpoint:    engine,
		Incarnation: vm.report.Incarnation,
		Sequence:    vm.report.Sequence,
		Model:       model,
		Bytes:       1,
		Sender:      vm.name,
		VM:          vm.name,
	}
	switch {
	case !listed && memory.FreeBytes() >= 1:
		intent.Action = endpoint.Load
	case listed && status.Stable():
		intent.Action = endpoint.Unload
	default:
		return
	}
	_, id := s.append(fleet.IntentKind, intent)
	s.catchUp(vm)
	for _, open := range vm.state.Ledger().Open(engine) {
		if open.Intent.ID == id {
			vm.unsent = append(vm.unsent, open.Intent)
		}
	}
}

// applyMutation changes a VM's view of the memory according to the mutation.
func (s *simulation) applyMutation(vm *entryVM, memory *ledger.AcceleratorMemory) {
	for _, open := range vm.state.Ledger().Open(engine) {
		intent := open.Intent
		status := memory.Models[intent.Model]
		foreign := s.mutation == ignoresForeignOrders && intent.Sender != vm.name && !status.Present
		freed := s.mutation == freesMemoryOnUnloadIntent && intent.Action == endpoint.Unload
		if foreign || freed {
			memory.ReservedBytes -= status.Bytes
			delete(memory.Models, intent.Model)
		}
	}
}

// send sends an order whose lease was checked earlier: the VM may have been paused in between for any time.
func (s *simulation) send(vm *entryVM) {
	intent := vm.unsent[0]
	vm.unsent = vm.unsent[1:]
	vm.sent = append(vm.sent, intent)
	s.inFlight = append(s.inFlight, inFlightOrder{
		order: intent.Order(),
		sent:  s.now,
	})
}

func (s *simulation) deliver() {
	if len(s.inFlight) == 0 {
		s.t.Skip("no order is in flight")
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "flight")
	order := s.inFlight[i].order
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	s.sequence++
	if s.enforcesFencing() {
		if order.Fence < s.engineFence {
			return
		}
		s.engineFence = order.Fence
	}
	s.loaded = slices.DeleteFunc(s.loaded, func(model string) bool { return model == order.Model })
	if order.Action == endpoint.Load {
		s.loaded = append(s.loaded, order.Model)
	}
	if len(s.loaded) > capacity {
		s.violation = fmt.Sprintf("models %v are loaded on an accelerator with room for %d", s.loaded, capacity)
	}
}

func (s *simulation) drop() {
	if len(s.inFlight) > 0 {
		i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "flight")
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}

func (s *simulation) abandon(vm *entryVM) {
	s.append(fleet.SettleKind, fleet.Settle{
		Abandonments: []ledger.Abandonment{
			{
				Intent: vm.sent[0].ID,
			},
		},
	})
	vm.sent = vm.sent[1:]
}

// settle settles the orders that the rules allow, based on the VM's own state and report.
func (s *simulation) settle(vm *entryVM) {
	s.receiveReport(vm)
	s.catchUp(vm)
	var settlements []ledger.Settlement
	for _, open := range vm.state.Ledger().Open(engine) {
		settlement, ok := ledger.Settle(open, ledger.Observations{
			Report:            vm.report,
			FencePersists:     s.fencing == configuration.Persistent || s.mutation == settlesOnVolatileFence,
			SenderInactiveFor: s.inactiveFor(vm, open),
			DeliveryBound:     deliveryBound,
		})
		if s.mutation == settlesOnRestart && vm.report.Incarnation != open.Intent.Incarnation {
			ok = true
		}
		if ok {
			settlements = append(settlements, settlement)
		}
	}
	if len(settlements) > 0 {
		s.append(fleet.SettleKind, fleet.Settle{
			Settlements: settlements,
		})
	}
}

func (s *simulation) inactiveFor(vm *entryVM, open ledger.OpenOrder) time.Duration {
	if !open.Abandoned {
		return 0
	}
	since, ok := vm.abandonedSince[open.Intent.ID]
	if !ok {
		vm.abandonedSince[open.Intent.ID] = s.now
		return 0
	}
	return s.now.Sub(since)
}

// restart empties the engine, which forgets the fencing token unless it is persistent.
func (s *simulation) restart() {
	s.incarnation++
	s.loaded = nil
	if s.fencing != configuration.Persistent {
		s.engineFence = 0
	}
}

func simulate(mutated mutation, fencing configuration.Fencing) func(*rapid.T) {
	return func(t *rapid.T) {
		t.Repeat(newSimulation(t, mutated, fencing).actions())
	}
}

// Delayed, lost and abandoned orders, engine restarts and changes of the lease holder must never lead to more models on an
// accelerator than it has memory for.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	for _, fencing := range []configuration.Fencing{configuration.Ignored, configuration.Enforced, configuration.Persistent} {
		t.Run(string(fencing), func(t *testing.T) { rapid.Check(t, simulate(noMutation, fencing)) })
	}
}

// GoString keeps failure traces short.
func (vm *entryVM) GoString() string { return vm.name }
