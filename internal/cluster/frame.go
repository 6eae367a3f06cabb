package cluster

import (
	"github.com/cowsliparch/cowsliparch/internal/brittle"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/origin"
	"github.com/cowsliparch/cowsliparch/internal/pacing"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/quota"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Member is an entry VM.
type Member struct {
	Name          string
	Address       string
	FailureDomain string
	Incarnation   string
	// SlowLink reports whether the VM's network link is too slow for the traffic of a lease holder.
	SlowLink bool `cbor:"Slow,omitempty"`
	// ReadsMemberCount reports that the VM takes the number of members from MemberCount, not from the list.
	ReadsMemberCount bool `cbor:"Counted,omitempty"`
	// TakesProxied reports that the VM takes requests of other VMs.
	TakesProxied bool `cbor:"Proxies,omitempty"`
}

// frame is one message on a link. At most one field is set, besides Releases; an empty frame only shows that the sender is alive.
type frame struct {
	Hello        *Member       `cbor:",omitempty"`
	Demand       []orders.Rate `cbor:",omitempty"`
	MissingModel *missingModel `cbor:"Missing,omitempty"`
	Request      *stateRequest `cbor:"Ask,omitempty"`
	Heartbeat    *heartbeat    `cbor:"Pulse,omitempty"`
	Holdings     []holding     `cbor:"Holding,omitempty"`
	// Configuration is encoded as in the store, CompressedConfiguration is the same in DEFLATE format.
	Configuration           []byte          `cbor:",omitempty"`
	CompressedConfiguration []byte          `cbor:"Deflated,omitempty"`
	Runners                 []roster.Runner `cbor:",omitempty"`
	// Changes holds single registrations that the lease holder read.
	Changes []roster.Change `cbor:",omitempty"`
	// Releases holds the releases of Runners or Changes, in their order; omitted if none states one.
	Releases []string `cbor:",omitempty"`
	// Starts names streams that began while their service had a single release, for the lease holder to remember.
	Starts []origin.Batch `cbor:",omitempty"`
	// Logged names streams that the lease holder has appended to the log, for the receiver to keep in case the log is restored from a copy.
	Logged []origin.Batch `cbor:",omitempty"`
	// Origins names the releases that began streams, for the lease holder to append to the log.
	Origins []origin.Batch `cbor:",omitempty"`
	// CensusRequest is the number of a request for a census, which Census answers.
	CensusRequest uint64       `cbor:",omitempty"`
	Census        *censusReply `cbor:",omitempty"`
	// Usage describes the sender's requests at the runners.
	Usage *usageReport `cbor:"Account,omitempty"`
	// Occupancy is the number of requests of all VMs at each runner, sent by the lease holder.
	Occupancy roster.Occupancy `cbor:",omitempty"`
	// Requests is the demand of all VMs for each model, sent by the lease holder.
	Requests []orders.RequestRate `cbor:"Rates,omitempty"`
	// Evidence is what a VM reports on prompt sections that crash runners.
	Evidence *quarantine.Evidence `cbor:",omitempty"`
	// Quarantine is what the lease holder decided on them.
	Quarantine *quarantine.Status `cbor:",omitempty"`
	// Paces holds paces of runners, sent by the lease holder.
	Paces pacing.Paces `cbor:",omitempty"`
	// Brittle holds what runners state on how many requests they can reject, sent by the lease holder.
	Brittle brittle.Statements `cbor:",omitempty"`
	// Grant is the receiver's share of the quotas of client accounts, sent by the lease holder.
	Grant *quota.Grant `cbor:",omitempty"`
	// Proxies is sent by the lease holder to a VM that is cut off from the runners.
	Proxies *proxyList `cbor:",omitempty"`
}

type holding = orders.Holding

// usageReport describes one VM's requests in flight: how many are at each runner, and which models they use.
type usageReport struct {
	// Version is the version of the sender's active configuration.
	Version   uint64
	Occupancy roster.Occupancy
	Uses      []roster.ModelUse `cbor:",omitempty"`
	// Paces holds the lowest figures that runners reported to the sender since its last report.
	Paces pacing.Paces `cbor:",omitempty"`
	// Brittle holds what runners stated to the sender on how many requests they can reject.
	Brittle brittle.Statements `cbor:",omitempty"`
	// Quota is the demand of the client accounts with a quota; omitted if there are none.
	Quota *quota.Report `cbor:",omitempty"`
	// CutOff reports that the sender reaches no runner, Stopping that it is about to stop, ProxyingEnded that it takes no requests of other VMs any more.
	CutOff   bool `cbor:",omitempty"`
	Stopping bool `cbor:",omitempty"`

	ProxyingEnded bool `cbor:",omitempty"`
}

// missingModel names a model or adapter that a caller requested and no runner holds.
type missingModel struct {
	Service string
	Model   string
	Adapter string
}

// stateRequest requests state that the sender can't read from the store.
type stateRequest struct {
	// Version is the version of the sender's active configuration; only a newer configuration is sent back.
	Version uint64
	// Runners requests the runner registrations.
	Runners bool
	// ReadsCompressed reports that the sender reads compressed configurations.
	ReadsCompressed bool `cbor:"Inflates,omitempty"`
}

// heartbeat tells the other side that the sender is alive, with its state.
type heartbeat struct {
	// HoldsLease reports whether the sender holds the order lease.
	HoldsLease bool `cbor:"Holds"`
	// Version is the version of the sender's active configuration.
	Version uint64
	// MemberCount is the number of the holder and the VMs linked to it.
	MemberCount int `cbor:"Count,omitempty"`
	// Members lists some of them; omitted unless they changed since it was last sent.
	Members []Member `cbor:",omitempty"`
	// StoreUnavailable reports that the sender can't read the registrations from the store.
	StoreUnavailable bool `cbor:"StoreOut,omitempty"`
	// Fence is the fencing token of the lease that the sender holds, 0 if it holds none.
	Fence uint64 `cbor:",omitempty"`
	// LeaseOffset is how far the sender has read the lease stream, and LeaseEra the era of that offset.
	LeaseOffset logservice.Offset `cbor:"Lease"`
	LeaseEra    logservice.Era    `cbor:"Era,omitempty"`
	// ResignedFence is the fencing token of a lease that the sender gave up without being able to record the release.
	ResignedFence uint64 `cbor:"Resigned,omitempty"`
}
