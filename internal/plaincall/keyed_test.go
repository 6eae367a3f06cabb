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
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/plaincall"
	"github.com/cowsliparch/cowsliparch/internal/record"
	"github.com/cowsliparch/cowsliparch/internal/replay"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

const (
	seedCount      = 50
	vmCount        = 3
	clientCount    = 6
	callsPerClient = 8
	keyCount       = 4
	faultPeriod    = 3 * time.Minute
)

// recordingService is a plain service that records which calls it executed for each key.
type recordingService struct {
	mu       sync.Mutex
	random   *rand.Rand
	executed map[string][]string
	vms      []*vm
}

// batcherFor returns the function by which a VM finds the batcher of a partition. All VMs use the same VM as the batcher of
// a partition, so that claims depend on a VM that may be cut off, paused or crashed.
func (s *recordingService) batcherFor(v *vm) func(int) (booking.Batcher, bool) {
	return func(partition int) (booking.Batcher, bool) {
		batcher := s.vms[partition%len(s.vms)]
		return batcher, batcher != v
	}
}

// drawFault returns at random what happens to a call to the service.
func (s *recordingService) drawFault() (unsent, lost, slow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.random.Float64()
	return n < 0.1, n >= 0.1 && n < 0.25, n >= 0.25 && n < 0.4
}

func (s *recordingService) execute(key, call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executed[key] = append(s.executed[key], call)
}

// vm is an entry VM with its own connections to the log and to the service.
type vm struct {
	service *recordingService
	logLine *fakelog.Connection
	handler http.Handler
	local   *booking.LocalBatcher

	mu      sync.Mutex
	paused  chan struct{}
	crashed bool
}

// Forward implements endpoint.Service: a crashed VM sends nothing, and a paused VM sends once it resumes.
func (v *vm) Forward(ctx context.Context, address string, r *http.Request, _ bool) (*http.Response, error) {
	v.mu.Lock()
	paused, crashed := v.paused, v.crashed
	v.mu.Unlock()
	if paused != nil {
		<-paused
	}
	if crashed {
		<-ctx.Done()
		return nil, &endpoint.NoResponseError{Address: address, Cause: ctx.Err()}
	}
	unsent, lost, slow := v.service.drawFault()
	if unsent {
		return nil, &endpoint.NotSentError{Address: address, Cause: io.ErrClosedPipe}
	}
	if slow {
		time.Sleep(15 * time.Second)
	}
	call := r.Header.Get("X-Call")
	v.service.execute(r.Header.Get(plaincall.KeyHeader), call)
	if lost || ctx.Err() != nil {
		return nil, &endpoint.NoResponseError{Address: address, Cause: io.ErrUnexpectedEOF}
	}
	response := httptest.NewRecorder()
	_, _ = response.WriteString(call)
	return response.Result(), nil
}

func newVM(ctx context.Context, t *testing.T, service *recordingService, log logservice.Log, state configuration.State) *vm {
	v := &vm{
		service: service,
		logLine: fakelog.NewConnection(log),
	}
	clock := clockwork.NewRealClock()
	logger := slog.New(slog.DiscardHandler)
	v.local = booking.New(booking.Options{
		Partitions:    2,
		FlushInterval: 25 * time.Millisecond,
		DedupeWindow:  time.Hour,
		Timeout:       10 * time.Second,
	}, v.logLine, clock, logger)
	go func() { _ = v.local.Run(ctx) }()
	claimer := booking.NewClaimer(v.local, service.batcherFor(v), clock)
	go func() { _ = claimer.Run(ctx) }()
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
		Claimer:        claimer,
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

// waitReachable waits while the VM is paused; it fails if the VM has crashed or ctx ends first.
func (v *vm) waitReachable(ctx context.Context) error {
	v.mu.Lock()
	paused, crashed := v.paused, v.crashed
	v.mu.Unlock()
	if crashed {
		return &endpoint.NotSentError{Cause: io.ErrClosedPipe}
	}
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-ctx.Done():
		return &endpoint.NoResponseError{Cause: ctx.Err()}
	}
}

// Claim implements booking.Batcher for the other VMs; its answer may be lost.
func (v *vm) Claim(ctx context.Context, c claim.Claim) (claim.Entry, error) {
	if err := v.waitReachable(ctx); err != nil {
		return claim.Entry{}, err
	}
	entry, err := v.local.Claim(ctx, c)
	if _, lost, _ := v.service.drawFault(); lost {
		return claim.Entry{}, &endpoint.NoResponseError{Cause: io.ErrUnexpectedEOF}
	}
	return entry, err
}

// Record implements booking.Batcher for the other VMs.
func (v *vm) Record(ctx context.Context, outcome claim.Outcome) error {
	if err := v.waitReachable(ctx); err != nil {
		return err
	}
	return v.local.Record(ctx, outcome)
}

// Wait implements booking.Batcher for the other VMs.
func (v *vm) Wait(ctx context.Context, key string) (claim.Entry, bool) {
	if v.waitReachable(ctx) != nil {
		return claim.Entry{}, false
	}
	return v.local.Wait(ctx, key)
}

// testState returns the state of a configuration with one plain service.
func testState(t require.TestingT) configuration.State {
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
	cursor, err := replay.NewCursor(configuration.New()).Apply(logservice.Record{
		Offset:  1,
		Payload: payload,
	})
	require.NoError(t, err)
	return cursor.State()
}

// input is a call in the history that porcupine checks.
type input struct {
	key  string
	call string
}

// output is the result of a call in the history that porcupine checks.
type output struct {
	ran string
	// notRun and ran exclude each other; if neither is set, the outcome is unknown.
	notRun bool
}

// atMostOnceModel lets at most one call per key run; every answer with an outcome must name that call.
func atMostOnceModel() porcupine.Model {
	return (&porcupine.NondeterministicModel{
		Init:      func() []any { return []any{""} },
		Partition: partitionByKey,
		Step: func(state, in, out any) []any {
			ran, call, got := state.(string), in.(input).call, out.(output)
			switch {
			case got.notRun:
				return []any{ran}
			case got.ran != "" && ran == "" && got.ran == call:
				return []any{call}
			case got.ran != "":
				return stateIf(ran, ran == got.ran)
			case ran == "":
				return []any{"", call}
			default:
				return []any{ran}
			}
		},
	}).ToModel()
}

func stateIf(state string, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	opsByKey := make(map[string][]porcupine.Operation)
	for _, op := range history {
		key := op.Input.(input).key
		opsByKey[key] = append(opsByKey[key], op)
	}
	var partitions [][]porcupine.Operation
	for _, ops := range opsByKey {
		partitions = append(partitions, ops)
	}
	return partitions
}

// runHistory sends calls from several clients while faults are injected, and returns the history.
func runHistory(t *testing.T, seed uint64) ([]porcupine.Operation, *recordingService) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	random := rand.New(rand.NewPCG(seed, 7))
	log := fakelog.New(clockwork.NewRealClock(), seed)
	service := &recordingService{
		random:   rand.New(rand.NewPCG(seed, 8)),
		executed: make(map[string][]string),
	}
	state := testState(t)
	var vms []*vm
	for range vmCount {
		vms = append(vms, newVM(ctx, t, service, log, state))
	}
	service.vms = vms
	var history []porcupine.Operation
	var mu sync.Mutex
	var running sync.WaitGroup
	start := time.Now()
	for client := range clientCount {
		clientRandom := rand.New(rand.NewPCG(seed, uint64(100+client)))
		running.Go(func() {
			for n := range callsPerClient {
				time.Sleep(time.Duration(clientRandom.IntN(20000)) * time.Millisecond)
				in := input{
					key:  fmt.Sprintf("key-%d", clientRandom.IntN(keyCount)),
					call: fmt.Sprintf("call-%d-%d", client, n),
				}
				op := sendCall(vms[clientRandom.IntN(vmCount)].handler, in, client, start)
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	seeded.InjectFaults(random, clockwork.NewRealClock(), faultPeriod, func() func() { return injectFault(random, log, vms) })
	running.Wait()
	cancel()
	synctest.Wait()
	return history, service
}

func sendCall(handler http.Handler, in input, client int, start time.Time) porcupine.Operation {
	r := httptest.NewRequest(http.MethodPost, "/services/booking-desk/reservations", strings.NewReader("dress"))
	r.Header.Set(plaincall.KeyHeader, in.key)
	r.Header.Set("X-Call", in.call)
	w := httptest.NewRecorder()
	op := porcupine.Operation{
		ClientId: client,
		Input:    in,
		Call:     int64(time.Since(start)),
	}
	handler.ServeHTTP(w, r)
	op.Return = int64(time.Since(start))
	out := readOutput(w)
	if out.ran == "" && !out.notRun {
		// A call with an unknown outcome may still run later.
		op.Return = math.MaxInt64
	}
	op.Output = out
	return op
}

func readOutput(w *httptest.ResponseRecorder) output {
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

func injectFault(random *rand.Rand, log *fakelog.Log, vms []*vm) (undo func()) {
	target := vms[random.IntN(len(vms))]
	switch random.IntN(7) {
	case 0:
		log.SetFaults(fakelog.Faults{Outage: true})
	case 1:
		log.SetFaults(fakelog.Faults{Delay: 3 * time.Second})
	case 2:
		log.SetFaults(fakelog.Faults{LostAnswer: 0.5, RefusedAppend: 0.2})
	case 3:
		target.logLine.SetInterrupted(true)
		return func() { target.logLine.SetInterrupted(false) }
	case 4:
		return target.pause()
	case 5:
		target.crash(random, vms)
	}
	return func() { log.SetFaults(fakelog.Faults{}) }
}

// pause blocks a VM's log and service calls, as if its process were stopped, until resume is called.
func (v *vm) pause() (resume func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.paused != nil || v.crashed {
		return func() {}
	}
	resumed := make(chan struct{})
	v.paused = resumed
	resumeLog := v.logLine.Freeze()
	return func() {
		v.mu.Lock()
		v.paused = nil
		v.mu.Unlock()
		resumeLog()
		close(resumed)
	}
}

// crash takes a VM down for the rest of the history; at most one VM crashes.
func (v *vm) crash(random *rand.Rand, vms []*vm) {
	alive := 0
	for _, other := range vms {
		other.mu.Lock()
		if !other.crashed {
			alive++
		}
		other.mu.Unlock()
	}
	if alive < len(vms) || random.IntN(2) == 0 {
		return
	}
	v.mu.Lock()
	v.crashed = true
	v.mu.Unlock()
	v.logLine.SetInterrupted(true)
}

// TestKeyedCallsRunAtMostOnce checks that no keyed call runs twice, and that all answers agree with what ran, while the log
// fails, answers are lost, and VMs are paused or crash.
func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	answered := 0
	for seed := range uint64(seedCount) {
		synctest.Test(t, func(t *testing.T) {
			history, service := runHistory(t, seed)
			for key, executed := range service.executed {
				require.LessOrEqual(t, len(executed), 1, "seed %d: %s ran as %v", seed, key, executed)
			}
			answered += checkAnswers(t, seed, history, service)
			result, _ := porcupine.CheckOperationsVerbose(atMostOnceModel(), history, 0)
			require.Equal(t, porcupine.Ok, result, "seed %d", seed)
		})
	}
	t.Logf("%d calls of %d got the outcome", answered, seedCount*clientCount*callsPerClient)
	require.Greater(t, answered, seedCount, "too few calls were answered for the check to mean anything")
}

// checkAnswers compares the answers with the calls that the service executed and returns how many got the outcome.
func checkAnswers(t *testing.T, seed uint64, history []porcupine.Operation, service *recordingService) int {
	answered := 0
	for _, op := range history {
		in, out := op.Input.(input), op.Output.(output)
		if out.notRun {
			require.NotContains(t, service.executed[in.key], in.call, "seed %d: %s was answered not run", seed, in.call)
		}
		if out.ran != "" {
			answered++
			require.Equal(t, []string{out.ran}, service.executed[in.key], "seed %d", seed)
		}
	}
	return answered
}
