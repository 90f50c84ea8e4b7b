// Sessions are the leases that this control instance grants. The leader also
// keeps what the others report of theirs. A lease is taken to be held until
// the grant, the lease length and the drift margin have passed.

package controller

import (
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
)

const (
	keptTableChanges = 1024
	sessionInterval  = 200 * time.Millisecond
)

type (
	sessions struct {
		instance    string
		startedAt   time.Duration
		own         map[tabulator.MemberID]session
		reports     map[string]report
		leaderSince time.Duration
		leading     bool
		changedAt   map[uint64]time.Duration
		changes     []uint64
		removing    map[tabulator.MemberID]time.Duration
		nextTick    time.Duration
		// told is how many requests all entry instances had, by the leader's last word.
		told int
	}

	session struct {
		grantedAt time.Duration
		have      uint64
		// requests is how many requests the entry instance had in its last window.
		requests int
	}

	report struct {
		at       time.Duration
		sessions map[uint64]int
		requests int
	}
)

func newSessions(instance string, now time.Duration) *sessions {
	return &sessions{
		instance: instance, startedAt: now, own: map[tabulator.MemberID]session{}, reports: map[string]report{},
		changedAt: map[uint64]time.Duration{}, removing: map[tabulator.MemberID]time.Duration{},
	}
}

func (s *sessions) onGrant(id tabulator.MemberID, have uint64, requests int, now time.Duration) {
	s.own[id] = session{grantedAt: now, have: have, requests: requests}
}

func (s *sessions) onRole(leading bool, now time.Duration) {
	s.leading = leading
	s.leaderSince = now
	s.reports = map[string]report{}
}

func (s *sessions) onTableChange(revision uint64, now time.Duration) {
	s.changedAt[revision] = now
	s.changes = append(s.changes, revision)
	if len(s.changes) > keptTableChanges {
		delete(s.changedAt, s.changes[0])
		s.changes = s.changes[1:]
	}
}

func (s *sessions) onReport(query ReportQuery, now time.Duration) {
	s.reports[query.From] = report{at: now, sessions: query.Sessions, requests: query.Requests}
}

// heard notes a sign of life of a control instance.
func (s *sessions) heard(from string, now time.Duration) {
	r := s.reports[from]
	r.at = now
	s.reports[from] = r
}

func (s *sessions) counts(now time.Duration) map[uint64]int {
	counts := map[uint64]int{}
	for _, held := range s.own {
		if now < assigner.GrantEnd(held.grantedAt) {
			counts[held.have]++
		}
	}
	return counts
}

// tickIfDue looks at the leases a few times a second, since the look costs time for each member.
func (s *sessions) tickIfDue(server *Server) {
	now := server.config.Now()
	if now < s.nextTick {
		return
	}
	s.nextTick = now + sessionInterval
	s.tick(server)
}

// tick proposes the removal of members whose lease has surely run out.
func (s *sessions) tick(server *Server) {
	now := server.config.Now()
	for _, member := range server.machine.MembersUnordered() {
		id := tabulator.MemberID{Instance: member.Instance, Incarnation: member.Incarnation}
		if !s.hasRunOut(id, member.Via, now) || now < s.removing[id] {
			continue
		}
		s.removing[id] = now + assigner.LeaseLength
		server.config.Timeline.Add("lease-expired", member.Instance, "no renewal through "+member.Via)
		command := tabulator.Remove{Instance: id.Instance, Incarnation: id.Incarnation, Via: member.Via, Reason: tabulator.RemovedExpired}
		server.group.Go(func() { _ = server.propose(command) })
	}
	for id, held := range s.own {
		if now > 2*assigner.GrantEnd(held.grantedAt)-held.grantedAt {
			delete(s.own, id)
			delete(s.removing, id)
		}
	}
}

func (s *sessions) hasRunOut(id tabulator.MemberID, via string, now time.Duration) bool {
	if via == s.instance {
		granted := max(s.startedAt, s.own[id].grantedAt)
		return now > assigner.GrantEnd(granted)
	}
	if !s.leading {
		return false
	}
	heard := max(s.leaderSince, s.reports[via].at)
	return now > assigner.GrantEnd(heard)
}

// inForce counts the sessions that act on the revision.
func (s *sessions) inForce(machine *tabulator.Machine, revision uint64, now time.Duration) InForceReply {
	reply := InForceReply{Members: len(machine.MembersUnordered())}
	for have, count := range s.counts(now) {
		if have >= revision {
			reply.Acting += count
		}
	}
	for from, r := range s.reports {
		if from == s.instance || now > assigner.GrantEnd(r.at) {
			continue
		}
		for have, count := range r.sessions {
			if have >= revision {
				reply.Acting += count
			}
		}
	}
	reply.Acting = min(reply.Acting, reply.Members)
	changed, known := s.changedAt[revision]
	if !known {
		changed = s.leaderSince
	}
	reply.After = now - changed
	reply.Everywhere = reply.Acting >= reply.Members || now > assigner.GrantEnd(changed)
	return reply
}

// reportLoop tells the leader which revisions the sessions of this instance act on.
func (s *Server) reportLoop() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(s.reportPause()):
			s.report()
		}
	}
}

func (s *Server) reportPause() time.Duration {
	if s.config.Board != nil && s.config.Board.Stamp() == (lister.RosterStamp{}) {
		return firstReport
	}
	return reportInterval
}

func (s *Server) report() {
	type target struct {
		peer  *peer
		query ReportQuery
	}
	found := make(chan target, 1)
	err := s.do(func() {
		leader := instanceOf(s.core.Leader())
		if p, ok := s.peerOf(leader); ok && leader != s.config.Instance {
			now := s.config.Now()
			query := ReportQuery{From: s.config.Instance, Sessions: s.sessions.counts(now), Requests: s.sessions.requests(now)}
			if s.config.Board != nil {
				query.Roster = s.config.Board.Stamp()
			}
			found <- target{peer: p, query: query}
			return
		}
		found <- target{}
	})
	if err != nil {
		return
	}
	select {
	case t := <-found:
		if t.peer == nil {
			return
		}
		var reply ReportReply
		if err := t.peer.call("Report", t.query, &reply, reachTimeout); err != nil {
			return
		}
		if err := s.takeRequests(reply.Requests); err != nil {
			// The instance has stopped.
			return
		}
		if s.config.Board != nil {
			s.config.Board.Apply(reply.Roster)
			s.config.Board.Confirm(reply.Reading)
		}
	case <-s.stop:
	}
}

func (s *Server) leading() bool { return s.core.Role() == replicator.RoleLeader }
