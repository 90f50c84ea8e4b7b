// Entry instances tell with their renewals how many requests they had, and learn
// how many all of them had: control instances sum up their sessions, and the
// leader the control instances.

package controller

import (
	"time"

	"lovagedeck/pkg/assigner"
)

// requests sums up what the sessions of this instance told last.
func (s *sessions) requests(now time.Duration) int {
	sum := 0
	for _, held := range s.own {
		if now < assigner.GrantEnd(held.grantedAt) {
			sum += held.requests
		}
	}
	return sum
}

// allRequests returns the requests of all entry instances: what the leader summed up, elsewhere what it told last.
func (s *sessions) allRequests(now time.Duration) int {
	if !s.leading {
		return s.told
	}
	sum := s.requests(now)
	for from, r := range s.reports {
		if from != s.instance && now <= assigner.GrantEnd(r.at) {
			sum += r.requests
		}
	}
	return sum
}

// takeRequests takes what the leader says of the requests of all entry instances.
func (s *Server) takeRequests(all int) error {
	return s.do(func() { s.sessions.told = all })
}
