package cluster

import (
	"context"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/origin"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/quota"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// LocalVM provides this VM's state to its links and handles what other VMs send.
type LocalVM interface {
	PaceKeeper
	BrittlenessKeeper
	ProxyVM
	// HoldsLease reports whether this VM holds the order lease.
	HoldsLease() bool
	// HolderAddress returns the lease holder's peer address, and false when the holder is unknown or this VM itself.
	HolderAddress() (string, bool)
	// LeaseStatus returns how far this VM has read the lease stream, and the fencing token of a lease that it gave up.
	LeaseStatus() (next logservice.Position, resignedFence uint64)
	// HeldFence returns the fencing token of the lease that this VM holds, or 0.
	HeldFence() uint64
	// HolderHeartbeat handles a heartbeat of the lease holder, which has read the lease stream up to next; fence is its fencing
	// token, 0 if the holder does not tell.
	HolderHeartbeat(next logservice.Position, fence uint64)
	// HolderResigned handles the message that the holder gave up the lease with this fencing token.
	HolderResigned(fence uint64)
	// ConfigurationVersion returns the version of the active configuration.
	ConfigurationVersion() uint64
	// Configuration returns the active configuration, encoded as in the store, or nil if there is none.
	Configuration() []byte
	// CompressedConfiguration returns the same in DEFLATE format.
	CompressedConfiguration() []byte
	// Runners returns the registrations known here.
	Runners() []roster.Runner
	// StoreUnavailable reports whether this VM can't read the store.
	StoreUnavailable() bool
	// ReadsOverdue reports whether this VM's newest read of the store is too old for other VMs to rely on.
	ReadsOverdue() bool
	// ReceiveConfiguration handles a configuration that another VM sent.
	ReceiveConfiguration(encoded []byte)
	// ReceiveRunners handles the list of registrations that another VM knows.
	ReceiveRunners(runners []roster.Runner)
	// ReceiveChanges handles single registrations that the lease holder read.
	ReceiveChanges(changes []roster.Change)
	// ReceiveHoldings handles updates on what runners hold.
	ReceiveHoldings(updates []orders.Holding)
	// Occupancy returns the number of this VM's requests at each runner, to be reported to the lease holder.
	Occupancy() roster.Occupancy
	// ReceiveOccupancy handles the number of requests of all VMs at each runner.
	ReceiveOccupancy(totals roster.Occupancy)
	// RequestTotals returns the demand of all VMs for each model, as reported to this VM.
	RequestTotals() []orders.RequestRate
	// ReceiveRequestTotals handles the demand of all VMs for each model.
	ReceiveRequestTotals(totals []orders.RequestRate)
	// ModelsInUse returns the models and adapters that this VM's requests use.
	ModelsInUse() []roster.ModelUse
	// DemandRates returns the demand of this VM's callers.
	DemandRates() []orders.Rate
	// ReceiveDemand handles the demand of a VM's callers.
	ReceiveDemand(vm string, rates []orders.Rate)
	// ReceiveMissingModel handles a request of a VM's caller for a model or adapter that no runner holds.
	ReceiveMissingModel(service, model, adapter string)
	// Evidence returns what a lease holder to which a link was opened may lack of this VM's evidence on prompt sections.
	Evidence() quarantine.Evidence
	// ReceiveEvidence handles a VM's evidence on prompt sections.
	ReceiveEvidence(e quarantine.Evidence)
	// QuarantineStatus returns what is decided here on prompt sections.
	QuarantineStatus() quarantine.Status
	// ReceiveQuarantineStatus handles what another VM decided on prompt sections.
	ReceiveQuarantineStatus(s quarantine.Status)
	// ReceiveStarts handles the streams that began at another VM while their service had a single release.
	ReceiveStarts(batches []origin.Batch)
	// ReceiveLogged handles streams that the lease holder has appended to the log.
	ReceiveLogged(batches []origin.Batch)
	// ReceiveOrigins handles the releases that began streams at another VM, which this VM is to append to the log.
	ReceiveOrigins(batches []origin.Batch)
	// Count takes a census of the releases of runners for a linked VM.
	Count(ctx context.Context) origin.Census
	// QuotaReport returns the demand of this VM's client accounts since the last report, or nil if none of them has a quota.
	QuotaReport() *quota.Report
	// ReceiveQuotaReport handles the report of a linked VM, nil if it sent none.
	ReceiveQuotaReport(vm quota.VM, r *quota.Report)
	// QuotaGrants returns the grants that are to be sent to linked VMs now; only the lease holder has any.
	QuotaGrants() []quota.Outgoing
	// ReceiveGrant handles a grant of the lease holder.
	ReceiveGrant(g *quota.Grant)
}
