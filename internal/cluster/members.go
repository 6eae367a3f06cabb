package cluster

import "math/rand/v2"

// membersFor returns the members to send on a link: a random sample, or all to a VM of a release that counts the list.
func (h *Hub) membersFor(s *session) []Member {
	members := h.Members()
	h.mu.Lock()
	countsList := s.member == nil || !s.member.ReadsMemberCount
	h.mu.Unlock()
	if countsList || len(members) <= memberSampleSize {
		return members
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:memberSampleSize]
}

// Members returns this VM and those linked to it.
func (h *Hub) Members() []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	members := []Member{h.self}
	for s := range h.sessions {
		if s.member != nil {
			members = append(members, *s.member)
		}
	}
	return members
}

// MemberCount returns the number of VMs that Members lists.
func (h *Hub) MemberCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 1
	for s := range h.sessions {
		if s.member != nil {
			n++
		}
	}
	return n
}
