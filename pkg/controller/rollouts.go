package controller

import (
	"slices"
	"sync/atomic"
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/promoter"
	"lovagedeck/pkg/tabulator"
)

const (
	// rolloutRenewalInterval is the time between renewals while a roll-out runs, in deployments of at most maxQuickMembers entry
	// instances. Larger ones keep to the usual interval, for which the control instances are sized.
	rolloutRenewalInterval = 200 * time.Millisecond
	maxQuickMembers        = 500
)

type (
	// RolloutReport is what the sessions of one control instance have seen of a roll-out.
	RolloutReport struct {
		Evidence promoter.Evidence
		// Instances is the number of sessions that sent evidence.
		Instances int
	}

	// RolloutStatus is the state of a roll-out as known to the leader.
	RolloutStatus struct {
		Rollout tabulator.Rollout
		// Elapsed and SinceChange are the times since the order and since the last change.
		Elapsed     time.Duration
		SinceChange time.Duration
		// Report is the sum over all entry instances.
		Report RolloutReport
		// InForce tells how far the last change is in force.
		InForce InForceReply
	}

	// rolloutClock keeps the times at which this instance learned of the changes of the roll-outs.
	rolloutClock struct {
		seen map[string]seenRollout
		// running is the number of roll-outs that run, and known the number of services that have had one.
		running, known *atomic.Int64
		// wallTime is the calendar time of the start of the process, at which the steady clock read startedAt.
		wallTime  time.Time
		startedAt time.Duration
	}

	seenRollout struct {
		order     uint64
		orderedAt time.Duration
		revision  uint64
		changedAt time.Duration
	}
)

func newRolloutClock(wallTime time.Time, startedAt time.Duration) rolloutClock {
	return rolloutClock{
		wallTime: wallTime, startedAt: startedAt, seen: map[string]seenRollout{}, running: &atomic.Int64{}, known: &atomic.Int64{},
	}
}

// observe records the changes since the last call. An instance that learns late of a change takes it for younger than it is.
func (c rolloutClock) observe(machine *tabulator.Machine, now time.Duration) {
	running := int64(0)
	for service, rollout := range machine.Rollouts() {
		if rollout.IsRunning() {
			running++
		}
		seen := c.seen[service]
		if seen.order != rollout.Order {
			seen.order, seen.orderedAt = rollout.Order, min(now-rollout.Elapsed, c.earlierOrder(rollout, now))
		}
		if seen.revision != rollout.Revision {
			seen.revision, seen.changedAt = rollout.Revision, now
			// The leader that made the change knew the time since the order at least as well.
			seen.orderedAt = min(seen.orderedAt, now-rollout.Elapsed)
		}
		c.seen[service] = seen
	}
	c.running.Store(running)
	c.known.Store(int64(len(machine.Rollouts())))
}

// earlierOrder returns the time of an order from before the start of the process, and now for later ones. It trusts the calendar clock for the
// duration of the roll-out at most, and only while it runs: copies of an order must not take it for older than it is.
func (c rolloutClock) earlierOrder(rollout tabulator.Rollout, now time.Duration) time.Duration {
	orderedAt := time.UnixMilli(rollout.WallMs)
	if !rollout.IsRunning() || rollout.WallMs == 0 || !orderedAt.Before(c.wallTime) {
		return now
	}
	return c.startedAt - min(c.wallTime.Sub(orderedAt), rollout.Duration)
}

// RunningRolloutCount returns the number of roll-outs that run, as far as this instance knows.
func (s *Server) RunningRolloutCount() int { return int(s.rollouts.running.Load()) }

// HasRollouts reports whether a service has had a roll-out, as far as this instance knows.
func (s *Server) HasRollouts() bool { return s.rollouts.known.Load() > 0 }

// Rollout returns the newest roll-out of a service and the time since its order, which is too short if this instance learned late of it.
// isFresh is false if no majority confirmed that it is the newest.
func (s *Server) Rollout(service string) (rollout tabulator.Rollout, sinceOrder time.Duration, isFresh bool) {
	status, isFresh := freshRead(s, func() RolloutStatus {
		current, _ := s.machine.Rollout(service)
		return RolloutStatus{Rollout: current, Elapsed: s.config.Now() - s.rollouts.seen[service].orderedAt}
	})
	return status.Rollout, status.Elapsed, isFresh
}

// Rollouts returns the newest roll-outs of all services, as far as this instance knows.
func (s *Server) Rollouts() ([]tabulator.Rollout, error) {
	return await(s, func(answer func([]tabulator.Rollout)) {
		rollouts := make([]tabulator.Rollout, 0, len(s.machine.Rollouts()))
		for _, rollout := range s.machine.Rollouts() {
			rollouts = append(rollouts, rollout)
		}
		answer(rollouts)
	})
}

// RunningRollouts returns the state of the roll-outs that run, or none if this instance is not the leader.
func (s *Server) RunningRollouts() ([]RolloutStatus, error) {
	return await(s, func(answer func([]RolloutStatus)) {
		if !s.isEstablishedLeader() {
			answer(nil)
			return
		}
		now := s.config.Now()
		reports := s.sessions.totalEvidence(s.machine, now)
		var statuses []RolloutStatus
		for service, rollout := range s.machine.Rollouts() {
			if rollout.IsRunning() {
				statuses = append(statuses, s.rolloutStatus(rollout, reports[service], now))
			}
		}
		answer(statuses)
	})
}

// DescribeRollout returns the newest roll-out of a service, as known to the leader.
func (s *Server) DescribeRollout(service string) (RolloutReply, error) {
	var reply RolloutReply
	err := NewService(s).Rollout(RolloutQuery{Service: service}, &reply)
	return reply, err
}

// describeRollout returns the roll-out if this instance is the leader and a majority confirms it, and else the leader.
func (s *Server) describeRollout(service string) (RolloutReply, *peer, error) {
	type answer struct {
		reply  RolloutReply
		leader *peer
	}
	got, err := linearizableRead(s, func(ok bool) answer {
		if !s.isEstablishedLeader() {
			leader, _ := s.peerFor(s.leader())
			return answer{reply: RolloutReply{Refused: refusedNoLeader}, leader: leader}
		}
		if !ok {
			return answer{reply: RolloutReply{Refused: "no majority confirmed the reading"}}
		}
		rollout, isKnown := s.machine.Rollout(service)
		if !isKnown {
			return answer{}
		}
		now := s.config.Now()
		report := s.sessions.totalEvidence(s.machine, now)[service]
		return answer{reply: RolloutReply{Known: true, Status: s.rolloutStatus(rollout, report, now), Steps: s.machine.RolloutSteps(service)}}
	})
	return got.reply, got.leader, err
}

// rolloutStatus returns the state of a roll-out. It runs in the loop of the leader.
func (s *Server) rolloutStatus(rollout tabulator.Rollout, report *RolloutReport, now time.Duration) RolloutStatus {
	seen := s.rollouts.seen[rollout.Service]
	status := RolloutStatus{
		Rollout: rollout, Elapsed: now - seen.orderedAt, SinceChange: now - seen.changedAt,
		InForce: s.sessions.countInForce(s.machine, rollout.Revision, now),
	}
	if report != nil {
		status.Report = *report
	}
	return status
}

// refuseRollout returns why no roll-out may be started, or an empty text. A control instance of a build that cannot apply roll-outs would
// stop at the order.
func (s *Server) refuseRollout() string {
	refusal, err := await(s, func(answer func(string)) {
		for from, r := range s.sessions.reports {
			if r.isOldBuild && s.config.Now() <= assigner.GrantExpiry(r.lastContact) {
				answer("control instance " + from + " runs a build without roll-outs; not run")
				return
			}
		}
		answer("")
	})
	if err != nil {
		return err.Error()
	}
	return refusal
}

// renewalInterval returns the time between renewals that entry instances are told to use.
func (s *Server) renewalInterval() time.Duration {
	if s.config.RenewalInterval > 0 && s.RunningRolloutCount() > 0 && len(s.machine.MembersUnordered()) <= maxQuickMembers {
		return min(s.config.RenewalInterval, rolloutRenewalInterval)
	}
	return s.config.RenewalInterval
}

// sumEvidence returns what the sessions of this instance have seen of the roll-outs that run. A member that renews through another
// control instance is counted there.
func (s *sessions) sumEvidence(machine *tabulator.Machine) []RolloutReport {
	sums := map[string]*RolloutReport{}
	for id, lease := range s.local {
		if len(lease.rollouts) == 0 {
			continue
		}
		member, isMember := machine.Member(id.Instance)
		isMember = isMember && member.Incarnation == id.Incarnation
		switch {
		case isMember && member.Via == s.instance:
			addEvidence(sums, machine, lease.rollouts, 1)
			continue
		case !isMember:
			s.ended[id] = withoutProgress(lease.rollouts)
		}
		lease.rollouts = nil
		s.local[id] = lease
	}
	for id, evidence := range s.ended {
		if !addEvidence(sums, machine, evidence, 0) {
			delete(s.ended, id)
		}
	}
	reports := make([]RolloutReport, 0, len(sums))
	for _, sum := range sums {
		reports = append(reports, *sum)
	}
	return reports
}

// totalEvidence returns, by service, the sum over all entry instances. It is meant for the leader.
func (s *sessions) totalEvidence(machine *tabulator.Machine, now time.Duration) map[string]*RolloutReport {
	totals := map[string]*RolloutReport{}
	for _, own := range s.sumEvidence(machine) {
		addEvidence(totals, machine, []promoter.Evidence{own.Evidence}, own.Instances)
	}
	for from, r := range s.reports {
		if from == s.instance || now > assigner.GrantExpiry(r.lastContact) {
			continue
		}
		for _, other := range r.rollouts {
			addEvidence(totals, machine, []promoter.Evidence{other.Evidence}, other.Instances)
		}
	}
	return totals
}

// addEvidence adds evidence on the roll-outs that run, and reports whether there was any.
func addEvidence(sums map[string]*RolloutReport, machine *tabulator.Machine, evidence []promoter.Evidence, instances int) bool {
	isAdded := false
	for _, one := range evidence {
		rollout, ok := machine.Rollout(one.Service)
		if !ok || !rollout.IsRunning() || rollout.Order != one.Order {
			continue
		}
		sum := sums[one.Service]
		if sum == nil {
			sum = &RolloutReport{}
			sums[one.Service] = sum
		}
		sum.Evidence.Merge(one)
		sum.Instances += instances
		isAdded = true
	}
	return isAdded
}

// withoutProgress returns the evidence of an instance that has ended, and with it its requests.
func withoutProgress(evidence []promoter.Evidence) []promoter.Evidence {
	ended := slices.Clone(evidence)
	for i := range ended {
		ended[i].OldInProgress = 0
	}
	return ended
}
