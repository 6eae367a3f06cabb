package capacity

import "time"

const (
	nodesPerDomain   = Nodes / FailureDomains
	runnersPerDomain = Runners / FailureDomains
	shardsPerDomain  = runnersPerDomain / runnersPerShard
	// replicasPerRunner is the average number of model replicas on a runner.
	replicasPerRunner = Models * ReplicasPerModel / Runners

	// nearLinks and farLinks are the links of a VM to peers in its own failure domain and in other ones.
	nearLinks = 4
	farLinks  = FailureDomains - 1

	leaseTerm             = 10 * time.Second
	renewalsPerTerm       = 3
	plansPerSecond        = 4
	reportsPerSecond      = 0.5
	recordBytes           = 300
	dedupeWindow          = time.Hour
	claimAppendsPerSecond = 100
	claimPartitions       = 1
	// relayTokenInterval is the time between tokens in the measured streams.
	relayTokenInterval = 15 * time.Millisecond
	// bothEnds is the number of ends of a connection, for measurements that cover both.
	bothEnds = 2
)

// Role is the cost of one role on a node at the target size.
type Role struct {
	Name      string
	Mechanism string
	// Control reports whether the role counts against the control-plane budgets.
	Control bool
	// Core is the fraction of a core; Memory is in bytes, Traffic in bytes per second.
	Core    float64
	Memory  float64
	Traffic float64
	// Basis states the quantities for which the cost was computed.
	Basis string
}

// Roles extrapolates the cost of each role at the target size from the measured slopes.
func (r Results) Roles() []Role {
	calls, tokens := float64(CallsPerSecond)/Nodes, TokensPerSecond/Nodes
	streams := tokens * TokenInterval.Seconds()
	records := float64(shardsPerDomain) * renewalsPerTerm / leaseTerm.Seconds()
	changes := float64(ChangesPerDay) / day.Seconds()
	keys := KeyedCallsPerSecond * dedupeWindow.Seconds() / claimPartitions
	return []Role{
		{
			Name:      "Data path: relay",
			Mechanism: "each event is copied once; readers are pooled; answers are not buffered",
			Core:      r.RelayWork.Fit.Slope * tokens / 1000,
			Memory:    r.RelayHeld.Fit.Slope * streams * 1024,
			Basis:     "8,235 tokens per second and 272 open streams per node",
		},
		{
			Name:      "Data path: admission and choice",
			Mechanism: "index of replicas by model; at most 64 candidates examined",
			Core:      calls * (r.Choice.Fit.At(ReplicasPerModel) + r.Admission.Fit.At(100)) / 1e6,
			Basis:     "38 calls per second per node",
		},
		{
			Name:      "Configuration",
			Mechanism: "every VM folds the single stream; long polls transfer nothing between changes",
			Control:   true,
			Core:      changes * r.ConfigurationFold.Fit.At(Models) / 1000,
			Memory:    r.ConfigurationHeld.Fit.At(Models) * 1024,
			Traffic:   changes * r.ConfigurationBytes.Fit.At(Models) * 1024,
			Basis:     "680 changes per day, each counted as a whole document",
		},
		{
			Name:      "Leases and orders read",
			Mechanism: "one stream per failure domain, read only by its VMs",
			Control:   true,
			Core:      records * r.Tail.Fit.Slope / 1000 / bothEnds,
			Memory:    r.FleetHeld.Fit.At(runnersPerDomain) * 1024,
			Traffic:   records * recordBytes,
			Basis:     "10 shards per failure domain, renewed 3 times in 10 s; 100 runners in the ledger",
		},
		{
			Name:      "Lease holder: plan",
			Mechanism: "each shard of ten runners has its own lease holder; floors are spread once per configuration version",
			Control:   true,
			Core:      plansPerSecond*r.Plan.Fit.At(Models)/1000 + changes*r.Homes.Fit.At(Models)/1000,
			Basis:     "4 plans per second over 1,800 models; most VMs hold at most one shard",
		},
		{
			Name:      "Member: heartbeats",
			Mechanism: "fixed fan-out: 4 outgoing links within the failure domain, 1 to each other one, and as many incoming; levels sent as deltas",
			Control:   true,
			Core:      (nearLinks*r.NearWork.Fit.Slope + farLinks*r.FarWork.Fit.Slope) / 1e6,
			Traffic:   bothEnds * (nearLinks*r.NearBytes.Fit.Slope + farLinks*r.FarBytes.Fit.Slope),
			Basis:     "9 outgoing and 9 incoming links",
		},
		{
			Name:      "Engine reports",
			Mechanism: "every VM polls each engine of its failure domain, less often the more engines there are: here every 2 s",
			Control:   true,
			Core:      runnersPerDomain * reportsPerSecond * r.ReportWork.Fit.At(replicasPerRunner) / 1e6 / bothEnds,
			Traffic:   runnersPerDomain * reportsPerSecond * r.ReportBytes.Fit.At(replicasPerRunner),
			Basis:     "100 runners per failure domain with 12 models each",
		},
		{
			Name:      "Batcher of keyed calls",
			Mechanism: "one VM per failure domain and partition batches claims; its index covers the deduplication window",
			Control:   true,
			Core:      KeyedCallsPerSecond * (r.ClaimFold.Fit.Slope / 1000),
			Memory:    keys * r.ClaimHeld.Fit.Slope * 1024,
			Traffic:   KeyedCallsPerSecond * recordBytes,
			Basis:     "500 keyed calls per second, kept for an hour, in one partition; batchers only",
		},
	}
}

// Appends is the rate at which one kind of writer appends to the log service.
type Appends struct {
	Writer    string
	PerSecond float64
	Basis     string
}

// Appends returns the appends per second of the whole system, by kind of writer.
func (r Results) Appends() []Appends {
	return []Appends{
		{
			Writer:    "Lease renewals",
			PerSecond: FailureDomains * shardsPerDomain * renewalsPerTerm / leaseTerm.Seconds(),
			Basis:     "60 shards, renewed 3 times in 10 s",
		},
		{
			Writer:    "Claims and outcomes",
			PerSecond: claimAppendsPerSecond,
			Basis:     "6 batchers, which flush less often the more of them there are, whatever the call rate",
		},
		{
			Writer:    "Orders",
			PerSecond: bothEnds * 2,
			Basis:     "an intent and a settlement for each of 2 loads per second",
		},
		{
			Writer:    "Configuration",
			PerSecond: ChangesPerDay / day.Seconds(),
			Basis:     "680 changes per day",
		},
	}
}
