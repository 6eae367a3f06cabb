package cluster_test

import (
	"bytes"
	"compress/flate"
	"context"
	"maps"
	"sync"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/origin"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// fakeVM implements cluster.LocalVM: tests set its state, and it records what other VMs send.
type fakeVM struct {
	fakePaces
	fakeProxies
	fakeBrittleness
	mu               sync.Mutex
	holdsLease       bool
	holder           string
	version          uint64
	storeUnavailable bool
	readsOverdue     bool
	requestTotals    []orders.RequestRate
	receivedRequests []orders.RequestRate
	compressedSent   int
	resignedFence    uint64
	receivedOrigins  []origin.Batch
	receivedStarts   []origin.Batch
	receivedLogged   []origin.Batch
	census           func() origin.Census
	leasePosition    logservice.Position
	rates            []orders.Rate

	receivedDemand        map[string][]orders.Rate
	receivedMissing       []string
	receivedHoldings      []orders.Holding
	receivedRunners       []roster.Runner
	receivedChanges       []roster.Change
	holderPosition        logservice.Position
	holderResignedFence   uint64
	receivedConfiguration []byte
	occupancy             roster.Occupancy
	uses                  []roster.ModelUse
	totals                roster.Occupancy

	evidence         quarantine.Evidence
	receivedEvidence []quarantine.Evidence
	status           quarantine.Status
	receivedStatus   []quarantine.Status

	quotas fakeQuotas
}

func (v *fakeVM) update(change func(*fakeVM)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v)
}

func (v *fakeVM) check(condition func(*fakeVM) bool) func() bool {
	return func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return condition(v)
	}
}

func (v *fakeVM) HoldsLease() bool { v.mu.Lock(); defer v.mu.Unlock(); return v.holdsLease }
func (v *fakeVM) HolderAddress() (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holder, v.holder != ""
}

func (v *fakeVM) LeaseStatus() (logservice.Position, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leasePosition, v.resignedFence
}
func (v *fakeVM) HeldFence() uint64 { return 5 }
func (v *fakeVM) HolderHeartbeat(next logservice.Position, _ uint64) {
	v.update(func(v *fakeVM) { v.holderPosition = next })
}
func (v *fakeVM) HolderResigned(fence uint64) {
	v.update(func(v *fakeVM) { v.holderResignedFence = fence })
}
func (v *fakeVM) ConfigurationVersion() uint64 { v.mu.Lock(); defer v.mu.Unlock(); return v.version }
func (v *fakeVM) Configuration() []byte        { return []byte{byte(v.ConfigurationVersion())} }
func (v *fakeVM) CompressedConfiguration() []byte {
	var compressed bytes.Buffer
	writer, _ := flate.NewWriter(&compressed, flate.BestSpeed)
	_, _ = writer.Write(v.Configuration())
	_ = writer.Close()
	v.update(func(v *fakeVM) { v.compressedSent++ })
	return compressed.Bytes()
}
func (v *fakeVM) Runners() []roster.Runner { return []roster.Runner{{ID: "r1"}} }
func (v *fakeVM) StoreUnavailable() bool   { v.mu.Lock(); defer v.mu.Unlock(); return v.storeUnavailable }
func (v *fakeVM) ReadsOverdue() bool       { v.mu.Lock(); defer v.mu.Unlock(); return v.readsOverdue }
func (v *fakeVM) ReceiveRunners(runners []roster.Runner) {
	v.update(func(v *fakeVM) { v.receivedRunners = runners })
}
func (v *fakeVM) Occupancy() roster.Occupancy {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.occupancy)
}
func (v *fakeVM) ModelsInUse() []roster.ModelUse { v.mu.Lock(); defer v.mu.Unlock(); return v.uses }
func (v *fakeVM) ReceiveOccupancy(totals roster.Occupancy) {
	v.update(func(v *fakeVM) { v.totals = totals })
}
func (v *fakeVM) RequestTotals() []orders.RequestRate {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.requestTotals
}
func (v *fakeVM) ReceiveRequestTotals(totals []orders.RequestRate) {
	v.update(func(v *fakeVM) { v.receivedRequests = totals })
}
func (v *fakeVM) ReceiveChanges(changes []roster.Change) {
	v.update(func(v *fakeVM) { v.receivedChanges = changes })
}
func (v *fakeVM) ReceiveHoldings(updates []orders.Holding) {
	v.update(func(v *fakeVM) { v.receivedHoldings = updates })
}
func (v *fakeVM) DemandRates() []orders.Rate { v.mu.Lock(); defer v.mu.Unlock(); return v.rates }
func (v *fakeVM) ReceiveDemand(vm string, rates []orders.Rate) {
	v.update(func(v *fakeVM) { v.receivedDemand[vm] = rates })
}
func (v *fakeVM) ReceiveMissingModel(service, model, adapter string) {
	v.update(func(v *fakeVM) { v.receivedMissing = append(v.receivedMissing, service+"/"+model+"/"+adapter) })
}

func (v *fakeVM) ReceiveConfiguration(encoded []byte) {
	v.update(func(v *fakeVM) {
		v.receivedConfiguration = encoded
		v.version = uint64(encoded[0])
	})
}

func newFakeVM() *fakeVM {
	return &fakeVM{
		receivedDemand: make(map[string][]orders.Rate),
		occupancy:      make(roster.Occupancy),
	}
}

func (v *fakeVM) ReceiveOrigins(batches []origin.Batch) {
	v.update(func(v *fakeVM) { v.receivedOrigins = append(v.receivedOrigins, batches...) })
}

func (v *fakeVM) Count(context.Context) origin.Census {
	v.mu.Lock()
	count := v.census
	v.mu.Unlock()
	return count()
}

func (v *fakeVM) ReceiveLogged(batches []origin.Batch) {
	v.update(func(v *fakeVM) { v.receivedLogged = append(v.receivedLogged, batches...) })
}

func (v *fakeVM) ReceiveStarts(batches []origin.Batch) {
	v.update(func(v *fakeVM) { v.receivedStarts = append(v.receivedStarts, batches...) })
}
