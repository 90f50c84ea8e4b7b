package controller

import (
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/promoter"
	"lovagedeck/pkg/tabulator"
)

const (
	maxTableChanges = 1024
	expiryInterval  = 200 * time.Millisecond
)

type (
	// sessions holds the leases granted by this control instance and, on the leader, the reports of the other control
	// instances about theirs. A lease counts as held until the lease length and the clock drift margin have passed since the
	// grant (assigner.GrantExpiry).
	sessions struct {
		instance    string
		startedAt   time.Duration
		local       map[tabulator.MemberID]session
		reports     map[string]report
		leaderSince time.Duration
		isLeader    bool
		// changedAt is the time at which each table revision was applied here.
		changedAt        map[uint64]time.Duration
		changedRevisions []uint64
		// retryRemovalAt is the time from which the removal of a member may be proposed again.
		retryRemovalAt map[tabulator.MemberID]time.Duration
		nextCheck      time.Duration
		// leaderTotal is the request count of all entry instances as last sent by the leader.
		leaderTotal int
		// ended holds the evidence of entry instances that were removed while their leases were held here.
		ended map[tabulator.MemberID][]promoter.Evidence
	}

	session struct {
		grantedAt time.Duration
		// revision is the revision of the view that the entry instance acts on.
		revision uint64
		// requests is the number of requests of the entry instance in its last window.
		requests int
		// rollouts is what the entry instance has seen of the roll-outs that run.
		rollouts []promoter.Evidence
	}

	report struct {
		lastContact        time.Duration
		sessionsByRevision map[uint64]int
		requests           int
		rollouts           []RolloutReport
		// isOldBuild reports whether the control instance cannot apply roll-outs.
		isOldBuild bool
	}
)

func newSessions(instance string, now time.Duration) *sessions {
	return &sessions{
		instance: instance, startedAt: now, local: map[tabulator.MemberID]session{}, reports: map[string]report{},
		ended: map[tabulator.MemberID][]promoter.Evidence{}, changedAt: map[uint64]time.Duration{}, retryRemovalAt: map[tabulator.MemberID]time.Duration{},
	}
}

func (s *sessions) onGrant(id tabulator.MemberID, lease session) {
	s.local[id] = lease
	delete(s.ended, id)
}

func (s *sessions) onRole(isLeader bool, now time.Duration) {
	s.isLeader = isLeader
	s.leaderSince = now
	s.reports = map[string]report{}
}

func (s *sessions) onTableChange(revision uint64, now time.Duration) {
	s.changedAt[revision] = now
	s.changedRevisions = append(s.changedRevisions, revision)
	if len(s.changedRevisions) > maxTableChanges {
		delete(s.changedAt, s.changedRevisions[0])
		s.changedRevisions = s.changedRevisions[1:]
	}
}

func (s *sessions) onReport(query ReportQuery, now time.Duration) {
	s.reports[query.From] = report{lastContact: now, sessionsByRevision: query.Sessions, requests: query.Requests, rollouts: query.Rollouts, isOldBuild: !query.KnowsRollouts}
}

// recordContact records the time of a message from a control instance.
func (s *sessions) recordContact(from string, now time.Duration) {
	r := s.reports[from]
	r.lastContact = now
	s.reports[from] = r
}

func (s *sessions) countByRevision(now time.Duration) map[uint64]int {
	counts := map[uint64]int{}
	for _, lease := range s.local {
		if now < assigner.GrantExpiry(lease.grantedAt) {
			counts[lease.revision]++
		}
	}
	return counts
}

// removeExpiredIfDue calls removeExpired at most every expiryInterval, because its cost grows with the number of members.
func (s *sessions) removeExpiredIfDue(server *Server) {
	now := server.config.Now()
	if server.failed != nil || now < s.nextCheck {
		return
	}
	s.nextCheck = now + expiryInterval
	s.removeExpired(server)
}

// removeExpired proposes the removal of members whose lease has certainly expired, and deletes old sessions.
func (s *sessions) removeExpired(server *Server) {
	now := server.config.Now()
	for _, member := range server.machine.MembersUnordered() {
		id := tabulator.MemberID{Instance: member.Instance, Incarnation: member.Incarnation}
		if !s.isExpired(id, member.Via, now) || now < s.retryRemovalAt[id] {
			continue
		}
		s.retryRemovalAt[id] = now + assigner.LeaseDuration
		server.config.Timeline.Add("lease-expired", member.Instance, "no renewal through "+member.Via)
		command := tabulator.Remove{Instance: id.Instance, Incarnation: id.Incarnation, Via: member.Via, Reason: tabulator.RemovedExpired}
		server.group.Go(func() { _ = server.propose(command) })
	}
	for id, lease := range s.local {
		if now > 2*assigner.GrantExpiry(lease.grantedAt)-lease.grantedAt {
			delete(s.local, id)
			delete(s.retryRemovalAt, id)
		}
	}
}

func (s *sessions) isExpired(id tabulator.MemberID, via string, now time.Duration) bool {
	if via == s.instance {
		lastGrant := max(s.startedAt, s.local[id].grantedAt)
		return now > assigner.GrantExpiry(lastGrant)
	}
	if !s.isLeader {
		return false
	}
	lastContact := max(s.leaderSince, s.reports[via].lastContact)
	return now > assigner.GrantExpiry(lastContact)
}

// countInForce counts the sessions that act on a view of at least the revision.
func (s *sessions) countInForce(machine *tabulator.Machine, revision uint64, now time.Duration) InForceReply {
	reply := InForceReply{Members: len(machine.MembersUnordered())}
	for current, count := range s.countByRevision(now) {
		if current >= revision {
			reply.Acting += count
		}
	}
	for from, r := range s.reports {
		if from == s.instance || now > assigner.GrantExpiry(r.lastContact) {
			continue
		}
		for current, count := range r.sessionsByRevision {
			if current >= revision {
				reply.Acting += count
			}
		}
	}
	reply.Acting = min(reply.Acting, reply.Members)
	changedAt, isKnown := s.changedAt[revision]
	if !isKnown {
		changedAt = s.leaderSince
	}
	reply.After = now - changedAt
	reply.Everywhere = reply.Acting >= reply.Members || now > assigner.GrantExpiry(changedAt)
	return reply
}

// reportLoop periodically reports to the leader which revisions the sessions of this instance act on.
func (s *Server) reportLoop() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(s.nextReportInterval()):
			s.report()
		}
	}
}

func (s *Server) nextReportInterval() time.Duration {
	if s.config.RosterStore != nil && s.config.RosterStore.Stamp() == (lister.RosterStamp{}) {
		return initialReportInterval
	}
	return reportInterval
}

func (s *Server) report() {
	type target struct {
		peer   *peer
		query  ReportQuery
		sentAt time.Duration
	}
	targets := make(chan target, 1)
	err := s.enqueue(func() {
		leader := s.leader()
		if p, ok := s.peerFor(leader); ok && leader != s.config.Instance {
			now := s.config.Now()
			query := ReportQuery{
				From: s.config.Instance, Sessions: s.sessions.countByRevision(now), Requests: s.sessions.countRequests(now),
				KnowsRollouts: true, Rollouts: s.sessions.sumEvidence(s.machine),
			}
			if s.config.RosterStore != nil {
				query.Roster = s.config.RosterStore.Stamp()
			}
			targets <- target{peer: p, query: query, sentAt: now}
			return
		}
		targets <- target{}
	})
	if err != nil {
		return
	}
	select {
	case t := <-targets:
		if t.peer == nil {
			return
		}
		var reply ReportReply
		if err := t.peer.call("Report", t.query, &reply, peerCallTimeout); err != nil {
			return
		}
		if err := s.setTotalRequests(reply.Requests); err != nil {
			// The instance has stopped.
			return
		}
		if s.config.RosterStore != nil {
			s.config.RosterStore.Apply(reply.Roster)
			s.config.RosterStore.Confirm(reply.Reading, t.sentAt)
		}
	case <-s.stop:
	}
}

// Members returns the entry instances as this control instance knows them, which may be outdated.
func (s *Server) Members() ([]tabulator.MemberFields, error) {
	return await(s, func(answer func([]tabulator.MemberFields)) { answer(s.machine.Members()) })
}
