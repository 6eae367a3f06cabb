package cluster

import (
	"github.com/cowsliparch/cowsliparch/internal/framelink"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

func (s *Spoke) handleHeartbeat(link *framelink.Link[frame], beat *heartbeat) {
	if beat.ResignedFence > 0 {
		s.local.HolderResigned(beat.ResignedFence)
	}
	if !beat.HoldsLease {
		if _, known := s.local.HolderAddress(); known {
			// The heartbeats of a VM without the lease count only while no lease holder is known.
			return
		}
	}
	s.mu.Lock()
	s.lastHeartbeat = s.clock.Now()
	s.holderStoreUnavailable = beat.StoreUnavailable
	if beat.HoldsLease && beat.Members != nil {
		s.members = beat.Members
	}
	if beat.HoldsLease {
		// Holders of an older release only list the members.
		s.memberCount = max(beat.MemberCount, len(s.members))
	}
	s.mu.Unlock()
	if beat.HoldsLease {
		s.local.HolderHeartbeat(logservice.Position{
			Era:    beat.LeaseEra,
			Offset: beat.LeaseOffset,
		}, beat.Fence)
	}
	requestNewerConfiguration(link, s.local, beat.Version)
}
