package capacity

import "time"

const (
	domainNodes   = Nodes / FailureDomains
	domainRunners = Runners / FailureDomains
	domainShards  = domainRunners / shardRunners
	// runnerModels is how many replicas a runner has.
	runnerModels = Models * ReplicasOfAModel / Runners

	nearLinks = 4
	farLinks  = FailureDomains - 1

	leaseTerm       = 10 * time.Second
	renewals        = 3
	plansPerSecond  = 4
	reportsASecond  = 0.5
	recordBytes     = 300
	dedupeWindow    = time.Hour
	claimsASecond   = 100
	claimPartitions = 1
	// relayInterval is the time between tokens of the relayed streams.
	relayInterval = 15 * time.Millisecond
	bothEnds      = 2
)

// Role is what one duty costs a node at the target size.
type Role struct {
	Name      string
	Mechanism string
	// Control tells that the role counts against the budgets of control.
	Control bool
	// Core is the part of a core, Memory and Traffic are in bytes and bytes a second.
	Core    float64
	Memory  float64
	Traffic float64
	Why     string
}

// Roles works the target out from the slopes.
func (r Results) Roles() []Role {
	calls, tokens := float64(CallsPerSecond)/Nodes, TokensPerSecond/Nodes
	streams := tokens * TokenInterval.Seconds()
	records := float64(domainShards) * renewals / leaseTerm.Seconds()
	changes := float64(ChangesPerDay) / day.Seconds()
	keys := KeyedCalls * dedupeWindow.Seconds() / claimPartitions
	return []Role{
		{
			Name:      "Data path: relay",
			Mechanism: "one copy of each event, pooled readers, no buffer of an answer",
			Core:      r.RelayWork.Fit.Slope * tokens / 1000,
			Memory:    r.RelayHeld.Fit.Slope * streams * 1024,
			Why:       "8,235 tokens a second and 272 open streams a node",
		},
		{
			Name:      "Data path: admission and choice",
			Mechanism: "index of replicas by model; at most 64 looked at",
			Core:      calls * (r.Choice.Fit.At(ReplicasOfAModel) + r.Admission.Fit.At(100)) / 1e6,
			Why:       "38 calls a second a node",
		},
		{
			Name:      "Configuration",
			Mechanism: "every VM folds the one stream; long polls are silent between changes",
			Control:   true,
			Core:      changes * r.ConfigurationFold.Fit.At(Models) / 1000,
			Memory:    r.ConfigurationHeld.Fit.At(Models) * 1024,
			Traffic:   changes * r.ConfigurationBytes.Fit.At(Models) * 1024,
			Why:       "680 changes a day, as if each were a whole document",
		},
		{
			Name:      "Leases and orders read",
			Mechanism: "one stream a failure domain, read by its VMs only",
			Control:   true,
			Core:      records * r.Tail.Fit.Slope / 1000 / bothEnds,
			Memory:    r.FleetHeld.Fit.At(domainRunners) * 1024,
			Traffic:   records * recordBytes,
			Why:       "10 shards a failure domain, renewed 3 times in 10 s, and 100 runners in the ledger",
		},
		{
			Name:      "Lease holder: plan",
			Mechanism: "a shard of ten runners has a holder of its own; floors are spread once a version",
			Control:   true,
			Core:      plansPerSecond*r.Plan.Fit.At(Models)/1000 + changes*r.Homes.Fit.At(Models)/1000,
			Why:       "4 plans a second over 1,800 models; at most one shard on most VMs",
		},
		{
			Name:      "Member: heartbeats",
			Mechanism: "fixed fan-out: 4 links within the failure domain, 1 to each other one, and as many in; levels as deltas",
			Control:   true,
			Core:      (nearLinks*r.NearWork.Fit.Slope + farLinks*r.FarWork.Fit.Slope) / 1e6,
			Traffic:   bothEnds * (nearLinks*r.NearBytes.Fit.Slope + farLinks*r.FarBytes.Fit.Slope),
			Why:       "9 links out and 9 in",
		},
		{
			Name:      "Reports of engines",
			Mechanism: "every VM polls each engine of its failure domain, more slowly the more there are: each 2 s",
			Control:   true,
			Core:      domainRunners * reportsASecond * r.ReportWork.Fit.At(runnerModels) / 1e6 / bothEnds,
			Traffic:   domainRunners * reportsASecond * r.ReportBytes.Fit.At(runnerModels),
			Why:       "100 runners a failure domain, 12 models on each",
		},
		{
			Name:      "Batcher of keyed calls",
			Mechanism: "one VM a failure domain and partition gathers claims; its index covers the dedupe window",
			Control:   true,
			Core:      KeyedCalls * (r.ClaimFold.Fit.Slope / 1000),
			Memory:    keys * r.ClaimHeld.Fit.Slope * 1024,
			Traffic:   KeyedCalls * recordBytes,
			Why:       "500 keyed calls a second, remembered for an hour, in one partition; on the batchers alone",
		},
	}
}

// Appends is one writer's part of what the log service is asked for.
type Appends struct {
	Writer    string
	PerSecond float64
	Why       string
}

// Appends works out the appends a second over the whole system.
func (r Results) Appends() []Appends {
	return []Appends{
		{
			Writer:    "Lease renewals",
			PerSecond: FailureDomains * domainShards * renewals / leaseTerm.Seconds(),
			Why:       "60 shards, 3 times in 10 s",
		},
		{
			Writer:    "Claims and outcomes",
			PerSecond: claimsASecond,
			Why:       "6 batchers, which flush more slowly the more they are, however many calls",
		},
		{
			Writer:    "Orders",
			PerSecond: bothEnds * 2,
			Why:       "an intent and a settlement for each of 2 loads a second",
		},
		{
			Writer:    "Configuration",
			PerSecond: ChangesPerDay / day.Seconds(),
			Why:       "680 changes a day",
		},
	}
}
