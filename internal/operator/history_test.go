package operator_test

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/deployment"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakelog"
	"github.com/cowsliparch/cowsliparch/internal/fake/seeded"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/operator"
	"github.com/cowsliparch/cowsliparch/internal/replay"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

const (
	seedCount          = 50
	vmCount            = 3
	operatorCount      = 4
	changesPerOperator = 6
	faultsDuration     = 2 * time.Minute
)

// vm is the part of an entry VM that publishes and follows the configuration.
type vm struct {
	connection *fakelog.Connection
	follower   *replay.Follower[configuration.State]
	publisher  *operator.Publisher
	// regressedTo is the last version that followed a higher one, or 0 if the version never decreased.
	regressedTo logservice.Offset
}

func newVM(ctx context.Context, log logservice.Log) *vm {
	logger := slog.New(slog.DiscardHandler)
	v := &vm{
		connection: fakelog.NewConnection(log),
	}
	v.follower = replay.NewFollower(configuration.New(), v.connection, configuration.Stream, clockwork.NewRealClock(), logger)
	v.publisher = operator.NewPublisher(v.follower, logger)
	go func() { _ = v.follower.Run(ctx) }()
	go v.watchVersion(ctx)
	return v
}

// watchVersion records a version that decreases.
func (v *vm) watchVersion(ctx context.Context) {
	version := logservice.Offset(0)
	for {
		state, err := v.follower.Wait(ctx, func(s configuration.State) bool { return s.Version() != version })
		if err != nil {
			return
		}
		if state.Version() < version {
			v.regressedTo = state.Version()
		}
		version = state.Version()
	}
}

// compareAndSet is the porcupine input for a change: a compare-and-set of the version in force.
type compareAndSet struct {
	base uint64
}

// setResult is the porcupine output for a change; its version is 0 if the change has no known outcome.
type setResult struct {
	answer  operatorapi.Answer
	version uint64
}

// registerModel returns the model of a register that holds the version in force; a change that is neither accepted nor in
// conflict leaves it unchanged.
func registerModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, in, out any) (bool, any) {
			version, base, got := state.(uint64), in.(compareAndSet).base, out.(setResult)
			switch got.answer {
			case operatorapi.Accepted:
				return version == base && got.version > version, got.version
			case operatorapi.Conflict:
				return version != base && got.version == version, version
			default:
				return true, version
			}
		},
	}
}

// attempt is a published change with its operation in the history; its outcome may not be known yet.
type attempt struct {
	id string
	op porcupine.Operation
}

// runSeed lets several operators publish changes through several VMs under random faults, then checks the history.
func runSeed(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	random := rand.New(rand.NewPCG(seed, 3))
	log := fakelog.New(clockwork.NewRealClock(), seed)
	var vms []*vm
	for range vmCount {
		vms = append(vms, newVM(ctx, log))
	}
	start := time.Now()
	initial := publishInitial(ctx, t, vms[0], start)
	attempts := []attempt{initial}
	var mu sync.Mutex
	var publishers sync.WaitGroup
	for n := range operatorCount {
		operatorRandom := rand.New(rand.NewPCG(seed, uint64(50+n)))
		publishers.Go(func() {
			for i := range changesPerOperator {
				time.Sleep(time.Duration(operatorRandom.IntN(15000)) * time.Millisecond)
				a := usePreset(ctx, vms[operatorRandom.IntN(vmCount)], fmt.Sprintf("change-%d-%d", n, i), n, operatorRandom, start)
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
			}
		})
	}
	seeded.InjectFaults(random, clockwork.NewRealClock(), faultsDuration, func() func() { return injectFault(random, log, vms) })
	publishers.Wait()
	requireConverged(t, log, vms)
	require.Equal(t, porcupine.Ok, checkLinearizable(vms[0], attempts), "seed %d", seed)
	for _, v := range vms {
		require.Zero(t, v.regressedTo, "seed %d: the version decreased", seed)
	}
	cancel()
	synctest.Wait()
}

func publishInitial(ctx context.Context, t *testing.T, v *vm, start time.Time) attempt {
	document, err := deployment.Peplos().Configuration.Encode()
	require.NoError(t, err)
	outcome := v.publisher.Publish(ctx, operatorapi.Change{
		ID:       "first",
		Document: document,
		Preset:   "ordinary",
	})
	require.Equal(t, operatorapi.Accepted, outcome.Answer)
	return attempt{
		id: "first",
		op: porcupine.Operation{
			Input:  compareAndSet{},
			Output: setResult{answer: outcome.Answer, version: outcome.Version},
			Return: int64(time.Since(start)),
		},
	}
}

// usePreset publishes a change of preset, based on the version in force on a VM.
func usePreset(ctx context.Context, v *vm, id string, operatorID int, random *rand.Rand, start time.Time) attempt {
	base := uint64(v.follower.State().Version())
	presets := []string{"ordinary", "peak", "maintenance"}
	op := porcupine.Operation{
		ClientId: operatorID,
		Input:    compareAndSet{base: base},
		Call:     int64(time.Since(start)),
	}
	outcome := v.publisher.Publish(ctx, operatorapi.Change{
		ID:     id,
		Base:   base,
		Preset: presets[random.IntN(len(presets))],
	})
	op.Return = int64(time.Since(start))
	op.Output = setResult{
		answer:  outcome.Answer,
		version: outcome.Version,
	}
	return attempt{
		id: id,
		op: op,
	}
}

// requireConverged clears the faults of the log and checks that all VMs have the same configuration in force a minute later.
func requireConverged(t *testing.T, log *fakelog.Log, vms []*vm) {
	log.SetFaults(fakelog.Faults{})
	time.Sleep(time.Minute)
	version := vms[0].follower.State().Version()
	for _, v := range vms {
		require.Equal(t, version, v.follower.State().Version())
		require.Equal(t, vms[0].follower.State().Preset().Name, v.follower.State().Preset().Name)
	}
}

// checkLinearizable looks up unknown outcomes again by the change's ID, then checks the history against a single
// compare-and-set register.
func checkLinearizable(v *vm, attempts []attempt) porcupine.CheckResult {
	var history []porcupine.Operation
	for _, a := range attempts {
		if a.op.Output.(setResult).answer == operatorapi.UnknownYet {
			a.op.Return = math.MaxInt64
			if outcome, ok := v.publisher.Outcome(a.id); ok {
				a.op.Output = setResult{
					answer:  outcome.Answer,
					version: outcome.Version,
				}
			}
		}
		history = append(history, a.op)
	}
	result, _ := porcupine.CheckOperationsVerbose(registerModel(), history, 0)
	return result
}

func injectFault(random *rand.Rand, log *fakelog.Log, vms []*vm) (undo func()) {
	v := vms[random.IntN(len(vms))]
	switch random.IntN(5) {
	case 0:
		log.SetFaults(fakelog.Faults{Outage: true})
	case 1:
		log.SetFaults(fakelog.Faults{Delay: 3 * time.Second})
	case 2:
		log.SetFaults(fakelog.Faults{LostAnswer: 0.5, RefusedAppend: 0.2})
	case 3:
		v.connection.SetInterrupted(true)
		return func() { v.connection.SetInterrupted(false) }
	case 4:
		truncateLog(log, v)
	}
	return func() { log.SetFaults(fakelog.Faults{}) }
}

// truncateLog appends a snapshot and drops all records that it covers, including those that some VMs have not read yet.
func truncateLog(log *fakelog.Log, v *vm) {
	cursor := v.follower.Cursor()
	envelope, ok := cursor.State().Snapshot()
	payload, err := envelope.Encode()
	if !ok || err != nil || cursor.HasGap() {
		return
	}
	if _, err := log.Append(context.Background(), configuration.Stream, payload); err == nil {
		log.DropBefore(configuration.Stream, cursor.State().LastOffset()+1)
	}
}

// Concurrent changes through several VMs must take effect one at a time, each on the version that it was based on, although
// the log fails, VMs lose their connection to it and records are dropped before every VM has read them.
func TestConfigurationChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(seedCount) {
		synctest.Test(t, func(t *testing.T) { runSeed(t, seed) })
	}
}
