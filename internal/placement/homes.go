package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// packShare is the part of a shard's memory that floors may fill, since models don't fit accelerators exactly.
const packShare = 0.85

// Home is where the replicas that a preset asks for belong.
type Home struct {
	// Anchor is the shard that should keep the model's anchor.
	Anchor string
	// Replicas is how many replicas each shard should have at least.
	Replicas map[string]int
}

// Homes spreads the floors of a preset over the shards. Every VM works out the same from the same configuration.
func Homes(c configuration.Configuration, preset configuration.Preset) map[string]Home {
	byService := make(map[string][]Shard)
	for _, shard := range Shards(c) {
		byService[shard.Service] = append(byService[shard.Service], shard)
	}
	free := make(map[string]int64)
	for _, shards := range byService {
		for _, shard := range shards {
			free[shard.Name] = int64(packShare * float64(shard.CapacityBytes))
		}
	}
	models := slices.Clone(c.Models)
	slices.SortFunc(models, func(a, b configuration.Model) int {
		return cmp.Or(cmp.Compare(b.MemoryBytes, a.MemoryBytes), cmp.Compare(a.Name, b.Name))
	})
	sizes := ReplicaBytes(c)
	homes := make(map[string]Home, len(models))
	for _, model := range models {
		homes[model.Name] = home(rank(model.Name, byService[model.Service]), preset.Floor(model.Name), sizes[model.Name], free)
	}
	return homes
}

// ReplicaBytes returns the size of a replica of each model in one pass over the adapters.
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

// home takes shards in order of rank, passing over full ones in the first round.
func home(ranked []Shard, floor int, bytes int64, free map[string]int64) Home {
	h := Home{
		Replicas: make(map[string]int),
	}
	placed := 0
	for _, mustFit := range []bool{true, false} {
		for round := 0; placed < floor && round < floor; round++ {
			for _, shard := range ranked {
				if placed == floor {
					break
				}
				if h.Replicas[shard.Name] >= shard.Runners || (mustFit && free[shard.Name] < bytes) {
					continue
				}
				if h.Anchor == "" {
					h.Anchor = shard.Name
				}
				h.Replicas[shard.Name]++
				free[shard.Name] -= bytes
				placed++
			}
		}
	}
	return h
}

// rank orders shards for a model by rendezvous hashing, the best of each failure domain before any second one.
func rank(model string, shards []Shard) []Shard {
	ranked := slices.Clone(shards)
	slices.SortFunc(ranked, func(a, b Shard) int {
		return cmp.Or(cmp.Compare(weight(model, a.Name), weight(model, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	nth := make(map[string]int)
	turn := make(map[string]int, len(ranked))
	for _, shard := range ranked {
		turn[shard.Name] = nth[shard.FailureDomain]
		nth[shard.FailureDomain]++
	}
	slices.SortStableFunc(ranked, func(a, b Shard) int { return cmp.Compare(turn[a.Name], turn[b.Name]) })
	return ranked
}

func weight(model, shard string) uint64 { return xxhash.Sum64String(model + "\n" + shard) }
