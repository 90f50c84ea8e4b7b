package controller

import (
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
)

// Service is the net/rpc receiver, registered as Control, for calls between control instances and from entry instances to
// control instances.
type Service struct {
	server *Server
}

// NewService returns the net/rpc receiver of the server.
func NewService(server *Server) *Service { return &Service{server: server} }

// Step queues replicated-log messages for processing.
func (s *Service) Step(query StepQuery, _ *struct{}) error {
	s.server.config.Timeline.Observe(query.Stamp)
	return s.server.enqueue(func() {
		now := s.server.config.Now()
		for _, message := range query.Messages {
			s.server.sessions.recordContact(instanceOf(message.From), now)
			if s.server.reopening != nil {
				s.server.reopening.observe(message)
			}
			s.server.step(replicator.Receive{Message: message})
		}
	})
}

// Report records the sessions of another control instance and returns the leaf roster and the total request count.
func (s *Service) Report(query ReportQuery, reply *ReportReply) error {
	if s.server.config.RosterStore != nil {
		reply.Roster = s.server.config.RosterStore.ChangesSince(query.Roster)
		reply.Reading = s.server.config.RosterStore.Reading()
	}
	requests, err := await(s.server, func(answer func(int)) {
		now := s.server.config.Now()
		s.server.sessions.onReport(query, now)
		answer(s.server.sessions.totalRequests(now))
	})
	reply.Requests = requests
	return err
}

// Renew grants a lease if a majority confirms, after the call arrived, that the granted view is fresh. Otherwise it sets the
// reason.
func (s *Service) Renew(query RenewQuery, reply *RenewReply) error {
	s.server.config.Timeline.Observe(query.Stamp)
	*reply = s.server.renew(query)
	reply.Stamp = s.server.config.Timeline.Now()
	return nil
}

// Propose proposes a command and waits until it is applied.
func (s *Service) Propose(query ProposeQuery, reply *ProposeReply) error {
	*reply = s.server.proposeEncoded(query.Command, query.Forwarded)
	return nil
}

// Lookup returns the recorded outcome of a change and whether the read is fresh.
func (s *Service) Lookup(query LookupQuery, reply *LookupReply) (err error) {
	*reply, err = linearizableRead(s.server, func(ok bool) LookupReply {
		result, isKnown := s.server.machine.Lookup(query.ChangeID)
		return LookupReply{Known: isKnown, Fresh: ok, Result: result}
	})
	return err
}

// History returns the operator changes and whether the read is fresh.
func (s *Service) History(_ HistoryQuery, reply *HistoryReply) (err error) {
	*reply, err = linearizableRead(s.server, func(ok bool) HistoryReply {
		return HistoryReply{Fresh: ok, Entries: append([]tabulator.HistoryEntry(nil), s.server.machine.History()...)}
	})
	return err
}

// InForce returns how many entry instances act on a view of at least the given revision, as known to the leader.
func (s *Service) InForce(query InForceQuery, reply *InForceReply) error {
	type localAnswer struct {
		reply  InForceReply
		leader *peer
	}
	local, err := await(s.server, func(answer func(localAnswer)) {
		if s.server.isEstablishedLeader() {
			answer(localAnswer{reply: s.server.sessions.countInForce(s.server.machine, query.Revision, s.server.config.Now())})
			return
		}
		leader, _ := s.server.peerFor(s.server.leader())
		answer(localAnswer{reply: InForceReply{Refused: "no leader is known"}, leader: leader})
	})
	if err != nil || local.leader == nil || query.Forwarded {
		*reply = local.reply
		return err
	}
	query.Forwarded = true
	return local.leader.call("InForce", query, reply, peerCallTimeout)
}

// Rollout returns the newest roll-out of a service, as known to the leader.
func (s *Service) Rollout(query RolloutQuery, reply *RolloutReply) error {
	described, leader, err := s.server.describeRollout(query.Service)
	if err != nil || leader == nil || query.Forwarded {
		*reply = described
		return err
	}
	query.Forwarded = true
	return leader.call("Rollout", query, reply, peerCallTimeout)
}

// Status returns the state of this control instance.
func (s *Service) Status(_ StatusQuery, reply *StatusReply) (err error) {
	*reply, err = await(s.server, func(answer func(StatusReply)) { answer(s.server.status()) })
	return err
}

// Configure adds, promotes or removes one control node, through the leader.
func (s *Service) Configure(query ConfigQuery, reply *ConfigReply) error {
	outcome, leader := s.server.configure(query)
	if leader != nil && !query.Forwarded {
		query.Forwarded = true
		return leader.call("Configure", query, reply, answerTimeout)
	}
	reply.Refused, reply.Unknown = outcome.Refused, outcome.Unknown
	return nil
}

// status returns the state of this control instance. It runs in the loop.
func (s *Server) status() StatusReply {
	reply := StatusReply{Status: s.core.Status(), Revision: s.machine.Revision()}
	for _, count := range s.sessions.countByRevision(s.config.Now()) {
		reply.Sessions += count
	}
	if s.failed != nil {
		reply.Failed = s.failed.Error()
		reply.Status.Role = replicator.RoleFollower
	}
	return reply
}

func (s *Server) renew(query RenewQuery) RenewReply {
	query.Member.Via = s.config.Instance
	if reason := s.ensureJoined(query.Member); reason != "" {
		return RenewReply{Reason: reason}
	}
	reply, err := linearizableRead(s, func(ok bool) RenewReply { return s.grant(query, ok) })
	if err != nil {
		return RenewReply{Reason: err.Error()}
	}
	if s.config.RosterStore != nil {
		reply.Roster = s.config.RosterStore.ChangesSince(query.Roster)
		reply.Reading = s.config.RosterStore.Reading()
	}
	return reply
}

// grant grants a lease, or returns the reason why not. isConfirmed reports whether a majority has confirmed the renewal. It runs in
// the loop.
func (s *Server) grant(query RenewQuery, isConfirmed bool) RenewReply {
	if !isConfirmed {
		return RenewReply{Reason: "no majority confirmed the renewal"}
	}
	if !s.isMember(query.Member) {
		return RenewReply{Reason: "the membership changed meanwhile"}
	}
	id := tabulator.MemberID{Instance: query.Member.Instance, Incarnation: query.Member.Incarnation}
	now := s.config.Now()
	s.sessions.onGrant(id, session{grantedAt: now, revision: query.Have, requests: query.Requests, rollouts: query.Rollouts})
	reply := RenewReply{
		Requests: s.sessions.totalRequests(now), Granted: true, Delta: s.machine.Delta(query.Have), Renewal: s.renewalInterval(),
	}
	if s.config.Discovery != nil {
		reply.Control = s.voterInstances()
	}
	return reply
}

// ensureJoined registers the member through this control instance if it is not registered here, and returns the reason if
// that fails.
func (s *Server) ensureJoined(member tabulator.MemberFields) string {
	isMember, err := await(s, func(answer func(bool)) { answer(s.isMember(member)) })
	if err != nil {
		return err.Error()
	}
	if isMember {
		return ""
	}
	reply := s.propose(tabulator.Join{Member: member})
	if reply.Refused != "" {
		return reply.Refused
	}
	if reply.Unknown {
		return "the registration is not confirmed"
	}
	if reply.Result.Verdict != tabulator.VerdictAccepted {
		return "a later start of this instance is registered"
	}
	return ""
}

func (s *Server) isMember(member tabulator.MemberFields) bool {
	current, ok := s.machine.Member(member.Instance)
	return ok && current.Incarnation == member.Incarnation && current.Via == member.Via
}

// linearizableRead runs read in the loop once the state machine has applied all entries committed before the call, and returns its
// result. ok is false if no majority confirmed that.
func linearizableRead[T any](s *Server, read func(ok bool) T) (T, error) {
	return await(s, func(answer func(T)) {
		s.confirms.add(s, func(ok bool) { answer(read(ok)) })
	})
}

// await runs work in the loop and returns what work passes to answer, which it must call once. After answerTimeout or Close it returns
// an error instead. Work may still run then, so that it must not write to variables of the caller.
func await[T any](s *Server, work func(answer func(T))) (T, error) {
	var none T
	answers := make(chan T, 1)
	if err := s.enqueue(func() { work(func(value T) { answers <- value }) }); err != nil {
		return none, err
	}
	select {
	case value := <-answers:
		return value, nil
	case <-s.stop:
		return none, errStopped
	case <-time.After(answerTimeout):
		return none, errors.New("the control instance did not answer in time")
	}
}
