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
	return s.server.enqueueAndWait(func(done func()) {
		defer done()
		now := s.server.config.Now()
		s.server.sessions.onReport(query, now)
		reply.Requests = s.server.sessions.totalRequests(now)
	})
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
func (s *Service) Lookup(query LookupQuery, reply *LookupReply) error {
	return s.server.linearizableRead(func(ok bool) {
		reply.Fresh = ok
		reply.Result, reply.Known = s.server.machine.Lookup(query.ChangeID)
	})
}

// History returns the operator changes and whether the read is fresh.
func (s *Service) History(_ HistoryQuery, reply *HistoryReply) error {
	return s.server.linearizableRead(func(ok bool) {
		reply.Fresh = ok
		reply.Entries = append(reply.Entries, s.server.machine.History()...)
	})
}

// InForce returns how many entry instances act on a view of at least the given revision, as known to the leader.
func (s *Service) InForce(query InForceQuery, reply *InForceReply) error {
	var leader *peer
	err := s.server.enqueueAndWait(func(done func()) {
		defer done()
		if s.server.core.IsEstablishedLeader() {
			*reply = s.server.sessions.countInForce(s.server.machine, query.Revision, s.server.config.Now())
			return
		}
		leader, _ = s.server.peerFor(instanceOf(s.server.core.Leader()))
		reply.Refused = "no leader is known"
	})
	if err != nil || leader == nil || query.Forwarded {
		return err
	}
	query.Forwarded = true
	*reply = InForceReply{}
	return leader.call("InForce", query, reply, peerCallTimeout)
}

// Status returns the state of this control instance.
func (s *Service) Status(_ StatusQuery, reply *StatusReply) error {
	return s.server.enqueueAndWait(func(done func()) {
		defer done()
		reply.Status = s.server.core.Status()
		reply.Revision = s.server.machine.Revision()
		for _, count := range s.server.sessions.countByRevision(s.server.config.Now()) {
			reply.Sessions += count
		}
		if s.server.failed != nil {
			reply.Failed = s.server.failed.Error()
		}
	})
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

func (s *Server) renew(query RenewQuery) RenewReply {
	query.Member.Via = s.config.Instance
	if reason := s.ensureJoined(query.Member); reason != "" {
		return RenewReply{Reason: reason}
	}
	var reply RenewReply
	err := s.linearizableRead(func(ok bool) {
		if !ok {
			reply.Reason = "no majority confirmed the renewal"
			return
		}
		if !s.isMember(query.Member) {
			reply.Reason = "the membership changed meanwhile"
			return
		}
		id := tabulator.MemberID{Instance: query.Member.Instance, Incarnation: query.Member.Incarnation}
		now := s.config.Now()
		s.sessions.onGrant(id, query.Have, query.Requests, now)
		reply.Requests = s.sessions.totalRequests(now)
		reply.Granted = true
		reply.Delta = s.machine.Delta(query.Have)
		reply.Renewal = s.config.RenewalInterval
		if s.config.Discovery != nil {
			reply.Control = s.voterInstances()
		}
	})
	if err != nil {
		return RenewReply{Reason: err.Error()}
	}
	if s.config.RosterStore != nil {
		reply.Roster = s.config.RosterStore.ChangesSince(query.Roster)
		reply.Reading = s.config.RosterStore.Reading()
	}
	return reply
}

// ensureJoined registers the member through this control instance if it is not registered here, and returns the reason if
// that fails.
func (s *Server) ensureJoined(member tabulator.MemberFields) string {
	isMember := false
	err := s.enqueueAndWait(func(done func()) {
		isMember = s.isMember(member)
		done()
	})
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

// linearizableRead runs work in the loop once the state machine has applied all entries committed before the call, and waits
// for it. ok is false if no majority confirmed that.
func (s *Server) linearizableRead(work func(ok bool)) error {
	return s.enqueueAndWait(func(done func()) {
		s.confirms.add(s, func(ok bool) {
			work(ok)
			done()
		})
	})
}

// enqueueAndWait runs work in the loop and waits until work calls done. It returns an error after answerTimeout or Close.
func (s *Server) enqueueAndWait(work func(done func())) error {
	finished := make(chan struct{})
	if err := s.enqueue(func() { work(func() { close(finished) }) }); err != nil {
		return err
	}
	select {
	case <-finished:
		return nil
	case <-s.stop:
		return errStopped
	case <-time.After(answerTimeout):
		return errors.New("the control instance did not answer in time")
	}
}
