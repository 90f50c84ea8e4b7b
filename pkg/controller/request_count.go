package controller

import (
	"time"

	"lovagedeck/pkg/assigner"
)

// countRequests returns the sum of the request counts that the entry instances with a session here sent with their last
// renewal. The leader adds up the sums of all control instances, and entry instances receive the total with their renewals.
func (s *sessions) countRequests(now time.Duration) int {
	total := 0
	for _, lease := range s.local {
		if now < assigner.GrantExpiry(lease.grantedAt) {
			total += lease.requests
		}
	}
	return total
}

// totalRequests returns the request count of all entry instances. Instances other than the leader return the total that the
// leader last sent.
func (s *sessions) totalRequests(now time.Duration) int {
	if !s.isLeader {
		return s.leaderTotal
	}
	total := s.countRequests(now)
	for from, r := range s.reports {
		if from != s.instance && now <= assigner.GrantExpiry(r.lastContact) {
			total += r.requests
		}
	}
	return total
}

// setTotalRequests records the total request count received from the leader.
func (s *Server) setTotalRequests(total int) error {
	return s.enqueue(func() { s.sessions.leaderTotal = total })
}
