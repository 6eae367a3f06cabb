package cluster

import (
	"context"

	"github.com/cowsliparch/cowsliparch/internal/origin"
)

// censusReply answers the request for a census with a number.
type censusReply struct {
	Number uint64
	Census origin.Census
}

// censusRequests matches replies to the requests for a census on a spoke's links.
type censusRequests struct {
	number uint64
	// reply gets the reply to the newest request, nil if it is not awaited.
	reply chan origin.Census
}

// Census returns a census that the linked VM begins after the call, and false if there is no link or no reply.
func (s *Spoke) Census(ctx context.Context) (origin.Census, bool) {
	s.mu.Lock()
	link := s.link
	s.census.number++
	number := s.census.number
	reply := make(chan origin.Census, 1)
	s.census.reply = reply
	s.mu.Unlock()
	if link == nil || !link.TrySend(frame{CensusRequest: number}) {
		return origin.Census{}, false
	}
	select {
	case census := <-reply:
		return census, true
	case <-ctx.Done():
		return origin.Census{}, false
	}
}

func (s *Spoke) receiveCensus(reply *censusReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Number == s.census.number && s.census.reply != nil {
		s.census.reply <- reply.Census
		s.census.reply = nil
	}
}

// replyCensus takes a census for the VM that opened a link.
func (h *Hub) replyCensus(ctx context.Context, s *session, number uint64) {
	_ = s.link.TrySend(frame{Census: &censusReply{
		Number: number,
		Census: h.local.Count(ctx),
	}})
}
