package placement

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// Shard is a group of a service's runners in one failure domain that is managed under one lease.
type Shard struct {
	Name          string
	Service       string
	FailureDomain string
	Runners       int
	// CapacityBytes is the total memory of the shard's accelerators.
	CapacityBytes int64
}

// Shards returns the shards of all model services, in the order of the configuration.
func Shards(c configuration.Configuration) []Shard {
	var shards []Shard
	for _, service := range c.Services {
		if service.Kind != configuration.ModelService {
			continue
		}
		for _, presence := range service.Presence {
			shards = append(shards, splitIntoShards(service, presence)...)
		}
	}
	return shards
}

func splitIntoShards(service configuration.Service, presence configuration.Presence) []Shard {
	n := max(presence.Shards, 1)
	shards := make([]Shard, 0, n)
	for i := range n {
		runners := presence.Runners / n
		if i < presence.Runners%n {
			runners++
		}
		shards = append(shards, Shard{
			Name:          shardName(service.Name, presence.FailureDomain, i),
			Service:       service.Name,
			FailureDomain: presence.FailureDomain,
			Runners:       runners,
			CapacityBytes: int64(runners*service.Accelerators) * service.AcceleratorBytes,
		})
	}
	return shards
}

// ShardOf returns the name of the shard that an endpoint belongs to, chosen by a hash of its name.
func ShardOf(c configuration.Configuration, service, domain, endpoint string) string {
	n := 1
	if s, ok := c.Service(service); ok {
		for _, presence := range s.Presence {
			if presence.FailureDomain == domain {
				n = max(presence.Shards, 1)
			}
		}
	}
	return shardName(service, domain, int(xxhash.Sum64String(endpoint)%uint64(n)))
}

func shardName(service, domain string, index int) string {
	return fmt.Sprintf("%s/%s/%d", service, domain, index)
}
