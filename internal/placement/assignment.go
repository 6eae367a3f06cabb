package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// floorMemoryShare is the fraction of a shard's memory that the preset's minimum replicas may fill, because models rarely
// fill an accelerator completely.
const floorMemoryShare = 0.85

// Assignment says which shards get the minimum replicas of one model.
type Assignment struct {
	// Anchor is the shard that should become the model's anchor: the shard that must keep at least one replica.
	Anchor string
	// Replicas is the minimum number of replicas by shard name.
	Replicas map[string]int
}

// AssignReplicas distributes the minimum replicas of a preset over the shards. The result depends on the configuration
// alone, so that all VMs agree on it.
func AssignReplicas(c configuration.Configuration, preset configuration.Preset) map[string]Assignment {
	byService := make(map[string][]Shard)
	for _, shard := range Shards(c) {
		byService[shard.Service] = append(byService[shard.Service], shard)
	}
	freeBytes := make(map[string]int64)
	for _, shards := range byService {
		for _, shard := range shards {
			freeBytes[shard.Name] = int64(floorMemoryShare * float64(shard.CapacityBytes))
		}
	}
	models := slices.Clone(c.Models)
	slices.SortFunc(models, func(a, b configuration.Model) int {
		return cmp.Or(cmp.Compare(b.MemoryBytes, a.MemoryBytes), cmp.Compare(a.Name, b.Name))
	})
	sizes := ReplicaBytes(c)
	assignments := make(map[string]Assignment, len(models))
	for _, model := range models {
		assignments[model.Name] = assignFloor(rankShards(model.Name, byService[model.Service]), preset.Floor(model.Name),
			sizes[model.Name], freeBytes)
	}
	return assignments
}

// ReplicaBytes returns the memory that a replica of each model takes, its adapters included.
func ReplicaBytes(c configuration.Configuration) map[string]int64 {
	sizes := make(map[string]int64, len(c.Models))
	for _, model := range c.Models {
		sizes[model.Name] = model.MemoryBytes
	}
	for _, adapter := range c.Adapters {
		sizes[adapter.Model] += adapter.MemoryBytes
	}
	return sizes
}

// assignFloor places floor replicas on the shards round-robin in rank order. A first pass uses only shards with enough
// free memory; a second one ignores memory to place the rest.
func assignFloor(ranked []Shard, floor int, replicaBytes int64, freeBytes map[string]int64) Assignment {
	a := Assignment{
		Replicas: make(map[string]int),
	}
	placed := 0
	for _, mustFit := range []bool{true, false} {
		for round := 0; placed < floor && round < floor; round++ {
			for _, shard := range ranked {
				if placed == floor {
					break
				}
				if a.Replicas[shard.Name] >= shard.Runners || (mustFit && freeBytes[shard.Name] < replicaBytes) {
					continue
				}
				if a.Anchor == "" {
					a.Anchor = shard.Name
				}
				a.Replicas[shard.Name]++
				freeBytes[shard.Name] -= replicaBytes
				placed++
			}
		}
	}
	return a
}

// rankShards orders shards for a model by rendezvous hashing, with the first shard of every failure domain ahead of any
// second one.
func rankShards(model string, shards []Shard) []Shard {
	ranked := slices.Clone(shards)
	slices.SortFunc(ranked, func(a, b Shard) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(model, a.Name), rendezvousWeight(model, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	domainCount := make(map[string]int)
	round := make(map[string]int, len(ranked))
	for _, shard := range ranked {
		round[shard.Name] = domainCount[shard.FailureDomain]
		domainCount[shard.FailureDomain]++
	}
	slices.SortStableFunc(ranked, func(a, b Shard) int { return cmp.Compare(round[a.Name], round[b.Name]) })
	return ranked
}

func rendezvousWeight(model, shard string) uint64 { return xxhash.Sum64String(model + "\n" + shard) }
