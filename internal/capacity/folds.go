package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/claim"
	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/fleet"
	"github.com/cowsliparch/cowsliparch/internal/lease"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

const gib = int64(1) << 30

// targetConfiguration returns a configuration of the target's runners with a number of models.
func targetConfiguration(models int) configuration.Configuration {
	c := configuration.Configuration{
		Services: []configuration.Service{
			{
				Name:             "models",
				Kind:             configuration.ModelService,
				Accelerators:     Accelerators / Runners,
				AcceleratorBytes: 80 * gib,
			},
		},
		Presets: []configuration.Preset{
			{
				Name:     "ordinary",
				Replicas: 2,
			},
		},
		Store: configuration.Store{
			LoadsPerSecond:   20,
			LoadsAtOnce:      60,
			AdaptersInFlight: 24,
		},
	}
	for i := range FailureDomains {
		name := fmt.Sprintf("domain-%d", i)
		c.FailureDomains = append(c.FailureDomains, configuration.FailureDomain{
			Name:   name,
			Region: fmt.Sprintf("region-%d", i%2),
		})
		c.Services[0].Presence = append(c.Services[0].Presence, configuration.Presence{
			FailureDomain: name,
			Runners:       Runners / FailureDomains,
			Shards:        Runners / FailureDomains / runnersPerShard,
		})
	}
	for i := range models {
		c.Models = append(c.Models, configuration.Model{
			Name:        fmt.Sprintf("model-%d", i),
			Service:     "models",
			MemoryBytes: 12*gib + int64(i%4)*6*gib,
			Class:       configuration.People,
		})
	}
	return c
}

func mustRecord(offset int, at time.Time, kind record.Kind, body any) logservice.Record {
	envelope, err := record.NewWithID(kind, fmt.Sprintf("r%d", offset), body)
	if err != nil {
		panic(err)
	}
	payload, err := envelope.Encode()
	if err != nil {
		panic(err)
	}
	return logservice.Record{
		Offset:  logservice.Offset(offset),
		Time:    at,
		Payload: payload,
	}
}

// ConfigurationFold measures applying one accepted configuration change, by the number of models: the time it takes, the
// heap that the state occupies, and the size of the record.
func ConfigurationFold(clock clockwork.Clock) (applyTime, heapSize, recordSize Series) {
	var times, bytes, sizes []Point
	for _, models := range []int{225, 450, 900, 1800} {
		document, err := targetConfiguration(models).Encode()
		if err != nil {
			panic(err)
		}
		change := mustRecord(1, clock.Now(), configuration.ChangeKind, configuration.Change{
			Document: document,
			Preset:   "ordinary",
		})
		times = append(times, Point{
			Size:  float64(models),
			Value: micros(timePerRun(clock, func() { _, _ = configuration.New().Apply(change) })) / 1000,
		})
		sizes = append(sizes, Point{
			Size:  float64(models),
			Value: float64(len(change.Payload)) / 1024,
		})
		state, heapBytes := heapGrowth(func() configuration.State {
			s, _ := configuration.New().Apply(change)
			return s
		})
		runtime.KeepAlive(state)
		bytes = append(bytes, Point{
			Size:  float64(models),
			Value: heapBytes / 1024,
		})
	}
	return newSeries("configuration change folded", "models", "ms", times),
		newSeries("configuration held", "models", "KB", bytes),
		newSeries("configuration change sent", "models", "KB", sizes)
}

// ClaimFold measures applying keyed calls to a batcher's index, by the number of keys: the time it takes and the heap that
// the index occupies. Each key has a claim and an outcome of 200 bytes.
func ClaimFold(clock clockwork.Clock) (applyTime, heapSize Series) {
	var times, bytes []Point
	for _, keys := range []int{10000, 20000, 40000, 80000} {
		records := claimRecords(clock.Now(), keys)
		start := clock.Now()
		state, heapBytes := heapGrowth(func() claim.State {
			s := claim.New(time.Hour)
			for _, r := range records {
				s, _ = s.Apply(r)
			}
			return s
		})
		elapsed := clock.Since(start)
		runtime.KeepAlive(state)
		runtime.KeepAlive(records)
		times = append(times, Point{
			Size:  float64(keys),
			Value: float64(elapsed.Milliseconds()),
		})
		bytes = append(bytes, Point{
			Size:  float64(keys),
			Value: heapBytes / 1024,
		})
	}
	return newSeries("keyed calls folded", "keys", "ms", times), newSeries("keyed calls held", "keys", "KB", bytes)
}

const (
	keysPerBatch = 50
	outcomeBytes = 200
)

func claimRecords(at time.Time, keys int) []logservice.Record {
	var records []logservice.Record
	for first := 0; first < keys; first += keysPerBatch {
		var batch claim.Batch
		for i := first; i < first+keysPerBatch; i++ {
			key, attempt := fmt.Sprintf("booking-desk-reservation-%012d", i), fmt.Sprintf("%036d", i)
			batch.Claims = append(batch.Claims, claim.Claim{
				Key:     key,
				Attempt: attempt,
			})
			batch.Outcomes = append(batch.Outcomes, claim.Outcome{
				Key:     key,
				Attempt: attempt,
				Status:  200,
				Body:    make([]byte, outcomeBytes),
			})
		}
		records = append(records, mustRecord(len(records)+1, at, claim.BatchKind, batch))
	}
	return records
}

// FleetFold measures the time to apply order records, two for each order, by the number of records, and the heap that the
// ledger of a failure domain occupies, by the number of its runners.
func FleetFold(clock clockwork.Clock) (applyTime, heapSize Series) {
	var times, bytes []Point
	for _, runners := range []int{12, 25, 50, 100} {
		records := fleetRecords(clock.Now(), runners)
		start := clock.Now()
		state, heapBytes := heapGrowth(func() fleet.State {
			s := fleet.New()
			for _, r := range records {
				s, _ = s.Apply(r)
			}
			return s
		})
		elapsed := clock.Since(start)
		runtime.KeepAlive(state)
		runtime.KeepAlive(records)
		times = append(times, Point{
			Size:  float64(len(records)),
			Value: float64(elapsed.Microseconds()) / 1000,
		})
		bytes = append(bytes, Point{
			Size:  float64(runners),
			Value: heapBytes / 1024,
		})
	}
	return newSeries("lease and order records folded", "records", "ms", times),
		newSeries("ledger held", "runners of the failure domain", "KB", bytes)
}

// ordersPerRunner is the number of settled orders that the ledger keeps for each runner.
const ordersPerRunner = 128

func fleetRecords(at time.Time, runners int) []logservice.Record {
	records := []logservice.Record{
		mustRecord(1, at, fleet.ClaimKind, lease.Claim{
			Shard:  "shard",
			Holder: "holder",
			Term:   lease.MaxTerm,
		}),
	}
	for runner := range runners {
		name := fmt.Sprintf("models-domain-%d", runner)
		base := logservice.Offset(0)
		for i := range ordersPerRunner {
			intent := mustRecord(len(records)+1, at, fleet.IntentKind, ledger.Intent{
				Shard:       "shard",
				Fence:       1,
				Base:        base,
				Endpoint:    name,
				Incarnation: "incarnation",
				Accelerator: i % 8,
				Action:      endpoint.Load,
				Model:       fmt.Sprintf("model-%d", i),
				Bytes:       gib,
				Sender:      "holder",
				VM:          "entry-1",
				Why:         "Floor",
			})
			base = intent.Offset
			records = append(records, intent, mustRecord(len(records)+2, at, fleet.SettleKind, fleet.Settle{
				Settlements: []ledger.Settlement{
					{
						Intent:      fmt.Sprintf("r%d", intent.Offset),
						Reason:      ledger.Answered,
						Incarnation: "incarnation",
					},
				},
			}))
		}
	}
	return records
}
