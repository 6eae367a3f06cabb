package plaincall_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/booking"
	"github.com/cowsliparch/cowsliparch/internal/burn"
	"github.com/cowsliparch/cowsliparch/internal/claim"
	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakelog"
	"github.com/cowsliparch/cowsliparch/internal/fake/seeded"
	"github.com/cowsliparch/cowsliparch/internal/fold"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/plaincall"
	"github.com/cowsliparch/cowsliparch/internal/record"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

const (
	seeds   = 50
	vms     = 3
	clients = 6
	calls   = 8
	keys    = 4
	chaos   = 3 * time.Minute
)

// desk is a plain service that writes down which call of a key it executed.
type desk struct {
	mu       sync.Mutex
	random   *rand.Rand
	executed map[string][]string
	members  []*vm
}

// batcher returns another VM's desk as the batcher of each partition, for all VMs but that one, so that claims take the
// way over a VM that may be cut off, paused or dead.
func (d *desk) batcher(v *vm) func(int) (booking.Batcher, bool) {
	return func(partition int) (booking.Batcher, bool) {
		other := d.members[partition%len(d.members)]
		return other, other != v
	}
}

// fault draws what happens to a call at the endpoint.
func (d *desk) fault() (unsent, lost, slow bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.random.Float64()
	return n < 0.1, n >= 0.1 && n < 0.25, n >= 0.25 && n < 0.4
}

func (d *desk) execute(key, call string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executed[key] = append(d.executed[key], call)
}

// vm is one entry VM with its own line to the log and to the service.
type vm struct {
	desk    *desk
	line    *fakelog.Line
	handler http.Handler
	booked  *booking.Desk

	mu     sync.Mutex
	frozen chan struct{}
	dead   bool
}

// Forward implements endpoint.Service: a dead VM sends nothing more, a paused one sends when it goes on.
func (v *vm) Forward(ctx context.Context, address string, r *http.Request, _ bool) (*http.Response, error) {
	v.mu.Lock()
	frozen, dead := v.frozen, v.dead
	v.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	if dead {
		<-ctx.Done()
		return nil, &endpoint.UnansweredError{Address: address, Cause: ctx.Err()}
	}
	unsent, lost, slow := v.desk.fault()
	if unsent {
		return nil, &endpoint.UnsentError{Address: address, Cause: io.ErrClosedPipe}
	}
	if slow {
		time.Sleep(15 * time.Second)
	}
	call := r.Header.Get("X-Call")
	v.desk.execute(r.Header.Get(plaincall.KeyHeader), call)
	if lost || ctx.Err() != nil {
		return nil, &endpoint.UnansweredError{Address: address, Cause: io.ErrUnexpectedEOF}
	}
	response := httptest.NewRecorder()
	_, _ = response.WriteString(call)
	return response.Result(), nil
}

func newVM(ctx context.Context, t *testing.T, d *desk, log logservice.Log, state configuration.State) *vm {
	v := &vm{
		desk: d,
		line: fakelog.NewLine(log),
	}
	clock := clockwork.NewRealClock()
	logger := slog.New(slog.DiscardHandler)
	v.booked = booking.New(booking.Options{
		Partitions:    2,
		FlushInterval: 25 * time.Millisecond,
		DedupeWindow:  time.Hour,
		Timeout:       10 * time.Second,
	}, v.line, clock, logger)
	go func() { _ = v.booked.Run(ctx) }()
	counter := booking.NewCounter(v.booked, d.batcher(v), clock)
	go func() { _ = counter.Run(ctx) }()
	view := directory.NewView([]*directory.Endpoint{
		directory.NewEndpoint(vmlist.VM{
			Name:    "desk",
			Service: "booking-desk",
		}),
	}, nil)
	v.handler = plaincall.New(plaincall.Dependencies{
		State:          func() configuration.State { return state },
		View:           func() *directory.View { return view },
		Service:        v,
		Counter:        counter,
		Burn:           burn.New(),
		Metrics:        plaincall.NewMetrics(prometheus.NewRegistry()),
		Clock:          clock,
		Logger:         logger,
		MaxBodyBytes:   1 << 20,
		BodyTimeout:    time.Minute,
		WriteTimeout:   time.Minute,
		OutcomeBytes:   1 << 14,
		OutcomeTimeout: 10 * time.Second,
	}).Routes()
	require.NotNil(t, v.handler)
	return v
}

// reach waits while the VM is paused and fails once it is dead or cut off from its peers.
func (v *vm) reach(ctx context.Context) error {
	v.mu.Lock()
	frozen, dead := v.frozen, v.dead
	v.mu.Unlock()
	if dead {
		return &endpoint.UnsentError{Cause: io.ErrClosedPipe}
	}
	if frozen == nil {
		return nil
	}
	select {
	case <-frozen:
		return nil
	case <-ctx.Done():
		return &endpoint.UnansweredError{Cause: ctx.Err()}
	}
}

// Claim implements booking.Batcher for the other VMs; the question, or its answer, may be lost.
func (v *vm) Claim(ctx context.Context, c claim.Claim) (claim.Entry, error) {
	if err := v.reach(ctx); err != nil {
		return claim.Entry{}, err
	}
	entry, err := v.booked.Claim(ctx, c)
	if _, lost, _ := v.desk.fault(); lost {
		return claim.Entry{}, &endpoint.UnansweredError{Cause: io.ErrUnexpectedEOF}
	}
	return entry, err
}

// Record implements booking.Batcher for the other VMs.
func (v *vm) Record(ctx context.Context, outcome claim.Outcome) error {
	if err := v.reach(ctx); err != nil {
		return err
	}
	return v.booked.Record(ctx, outcome)
}

// Wait implements booking.Batcher for the other VMs.
func (v *vm) Wait(ctx context.Context, key string) (claim.Entry, bool) {
	if v.reach(ctx) != nil {
		return claim.Entry{}, false
	}
	return v.booked.Wait(ctx, key)
}

func inForce(t require.TestingT) configuration.State {
	document, err := configuration.Configuration{
		Services: []configuration.Service{
			{
				Name: "booking-desk",
				Kind: configuration.PlainService,
			},
		},
		Presets: []configuration.Preset{
			{
				Name: "ordinary",
			},
		},
	}.Encode()
	require.NoError(t, err)
	envelope, err := record.New(configuration.ChangeKind, configuration.Change{
		Document: document,
		Preset:   "ordinary",
	})
	require.NoError(t, err)
	payload, err := envelope.Encode()
	require.NoError(t, err)
	cursor, err := fold.NewCursor(configuration.New()).With(logservice.Record{
		Offset:  1,
		Payload: payload,
	})
	require.NoError(t, err)
	return cursor.State()
}

// input and output are one call as porcupine sees it.
type input struct {
	key  string
	call string
}

type output struct {
	ran string
	// notRun and ran exclude each other; neither means that the outcome is unknown.
	notRun bool
}

// atMostOnce says that the first call of a key that runs is the only one, and that all answers tell of it.
func atMostOnce() porcupine.Model {
	return (&porcupine.NondeterministicModel{
		Init:      func() []any { return []any{""} },
		Partition: byKey,
		Step: func(state, in, out any) []any {
			ran, call, got := state.(string), in.(input).call, out.(output)
			switch {
			case got.notRun:
				return []any{ran}
			case got.ran != "" && ran == "" && got.ran == call:
				return []any{call}
			case got.ran != "":
				return keep(ran, ran == got.ran)
			case ran == "":
				return []any{"", call}
			default:
				return []any{ran}
			}
		},
	}).ToModel()
}

func keep(state string, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

func byKey(history []porcupine.Operation) [][]porcupine.Operation {
	split := make(map[string][]porcupine.Operation)
	for _, op := range history {
		key := op.Input.(input).key
		split[key] = append(split[key], op)
	}
	var out [][]porcupine.Operation
	for _, ops := range split {
		out = append(out, ops)
	}
	return out
}

// run plays one history under faults and returns it.
func run(t *testing.T, seed uint64) ([]porcupine.Operation, *desk) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	random := rand.New(rand.NewPCG(seed, 7))
	log := fakelog.New(clockwork.NewRealClock(), seed)
	d := &desk{
		random:   rand.New(rand.NewPCG(seed, 8)),
		executed: make(map[string][]string),
	}
	state := inForce(t)
	var members []*vm
	for range vms {
		members = append(members, newVM(ctx, t, d, log, state))
	}
	d.members = members
	var history []porcupine.Operation
	var mu sync.Mutex
	var running sync.WaitGroup
	began := time.Now()
	for client := range clients {
		draws := rand.New(rand.NewPCG(seed, uint64(100+client)))
		running.Go(func() {
			for n := range calls {
				time.Sleep(time.Duration(draws.IntN(20000)) * time.Millisecond)
				in := input{
					key:  fmt.Sprintf("key-%d", draws.IntN(keys)),
					call: fmt.Sprintf("call-%d-%d", client, n),
				}
				op := send(members[draws.IntN(vms)].handler, in, client, began)
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	seeded.Disturb(random, clockwork.NewRealClock(), chaos, func() func() { return fault(random, log, members) })
	running.Wait()
	cancel()
	synctest.Wait()
	return history, d
}

func send(handler http.Handler, in input, client int, began time.Time) porcupine.Operation {
	r := httptest.NewRequest(http.MethodPost, "/services/booking-desk/reservations", strings.NewReader("dress"))
	r.Header.Set(plaincall.KeyHeader, in.key)
	r.Header.Set("X-Call", in.call)
	w := httptest.NewRecorder()
	op := porcupine.Operation{
		ClientId: client,
		Input:    in,
		Call:     int64(time.Since(began)),
	}
	handler.ServeHTTP(w, r)
	op.Return = int64(time.Since(began))
	out := read(w)
	if out.ran == "" && !out.notRun {
		// What is unknown may still happen.
		op.Return = math.MaxInt64
	}
	op.Output = out
	return op
}

func read(w *httptest.ResponseRecorder) output {
	if w.Code == http.StatusOK {
		return output{ran: w.Body.String()}
	}
	var body struct {
		Error struct {
			Ran string
		}
	}
	_ = json.Unmarshal(w.Body.Bytes(), &body)
	return output{notRun: body.Error.Ran == "NotRun"}
}

func fault(random *rand.Rand, log *fakelog.Log, members []*vm) (undo func()) {
	member := members[random.IntN(len(members))]
	switch random.IntN(7) {
	case 0:
		log.SetFaults(fakelog.Faults{Outage: true})
	case 1:
		log.SetFaults(fakelog.Faults{Delay: 3 * time.Second})
	case 2:
		log.SetFaults(fakelog.Faults{LostAnswer: 0.5, Refused: 0.2})
	case 3:
		member.line.SetCut(true)
		return func() { member.line.SetCut(false) }
	case 4:
		return member.pause()
	case 5:
		member.die(random, members)
	}
	return func() { log.SetFaults(fakelog.Faults{}) }
}

// pause holds a VM's log and service calls, as a process that is stopped and goes on would.
func (v *vm) pause() (goOn func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen != nil || v.dead {
		return func() {}
	}
	frozen := make(chan struct{})
	v.frozen = frozen
	thaw := v.line.Freeze()
	return func() {
		v.mu.Lock()
		v.frozen = nil
		v.mu.Unlock()
		thaw()
		close(frozen)
	}
}

// die takes a VM away for good, unless it is the last one.
func (v *vm) die(random *rand.Rand, members []*vm) {
	alive := 0
	for _, m := range members {
		m.mu.Lock()
		if !m.dead {
			alive++
		}
		m.mu.Unlock()
	}
	if alive < len(members) || random.IntN(2) == 0 {
		return
	}
	v.mu.Lock()
	v.dead = true
	v.mu.Unlock()
	v.line.SetCut(true)
}

func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	answered := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			history, d := run(t, seed)
			for key, executed := range d.executed {
				require.LessOrEqual(t, len(executed), 1, "seed %d: %s ran as %v", seed, key, executed)
			}
			answered += judge(t, seed, history, d)
			result, _ := porcupine.CheckOperationsVerbose(atMostOnce(), history, 0)
			require.Equal(t, porcupine.Ok, result, "seed %d", seed)
		})
	}
	t.Logf("%d calls of %d got the outcome", answered, seeds*clients*calls)
	require.Greater(t, answered, seeds, "too few calls were answered for the check to mean anything")
}

// judge holds each answer against the service's own journal and returns how many calls got the outcome.
func judge(t *testing.T, seed uint64, history []porcupine.Operation, d *desk) int {
	answered := 0
	for _, op := range history {
		in, out := op.Input.(input), op.Output.(output)
		if out.notRun {
			require.NotContains(t, d.executed[in.key], in.call, "seed %d: %s was answered not run", seed, in.call)
		}
		if out.ran != "" {
			answered++
			require.Equal(t, []string{out.ran}, d.executed[in.key], "seed %d", seed)
		}
	}
	return answered
}
