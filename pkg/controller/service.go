package controller

import (
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
)

// Service is the net/rpc receiver named Control.
type Service struct {
	server *Server
}

// NewService returns the receiver of a control instance.
func NewService(server *Server) *Service { return &Service{server: server} }

// Step takes messages of the replicated log.
func (s *Service) Step(query StepQuery, _ *struct{}) error {
	s.server.config.Timeline.Observe(query.Stamp)
	return s.server.do(func() {
		now := s.server.config.Now()
		for _, message := range query.Messages {
			s.server.sessions.heard(instanceOf(message.From), now)
			s.server.step(replicator.Receive{Message: message})
		}
	})
}

// Report takes what another control instance says of its sessions.
func (s *Service) Report(query ReportQuery, reply *ReportReply) error {
	if s.server.config.Board != nil {
		reply.Roster = s.server.config.Board.ChangesSince(query.Roster)
		reply.Reading = s.server.config.Board.Reading()
	}
	return s.server.await(func(done func()) {
		defer done()
		now := s.server.config.Now()
		s.server.sessions.onReport(query, now)
		reply.Requests = s.server.sessions.allRequests(now)
	})
}

// Renew grants a lease whose freshness a majority confirmed after the call arrived.
func (s *Service) Renew(query RenewQuery, reply *RenewReply) error {
	s.server.config.Timeline.Observe(query.Stamp)
	*reply = s.server.renew(query)
	reply.Stamp = s.server.config.Timeline.Now()
	return nil
}

// Propose puts a command into the log and waits until it is applied.
func (s *Service) Propose(query ProposeQuery, reply *ProposeReply) error {
	*reply = s.server.proposeData(query.Command, query.Forwarded)
	return nil
}

// Lookup returns the recorded outcome of a change.
func (s *Service) Lookup(query LookupQuery, reply *LookupReply) error {
	return s.server.read(func(ok bool) {
		reply.Fresh = ok
		reply.Result, reply.Known = s.server.machine.Lookup(query.ChangeID)
	})
}

// History returns the changes of operators.
func (s *Service) History(_ HistoryQuery, reply *HistoryReply) error {
	return s.server.read(func(ok bool) {
		reply.Fresh = ok
		reply.Entries = append(reply.Entries, s.server.machine.History()...)
	})
}

// InForce tells how many entry instances act on a revision.
func (s *Service) InForce(query InForceQuery, reply *InForceReply) error {
	var leader *peer
	err := s.server.await(func(done func()) {
		defer done()
		if s.server.core.Leading() {
			*reply = s.server.sessions.inForce(s.server.machine, query.Revision, s.server.config.Now())
			return
		}
		leader, _ = s.server.peerOf(instanceOf(s.server.core.Leader()))
		reply.Refused = "no leader is known"
	})
	if err != nil || leader == nil || query.Forwarded {
		return err
	}
	query.Forwarded = true
	*reply = InForceReply{}
	return leader.call("InForce", query, reply, reachTimeout)
}

// Status describes the control instance.
func (s *Service) Status(_ StatusQuery, reply *StatusReply) error {
	return s.server.await(func(done func()) {
		defer done()
		reply.Status = s.server.core.Status()
		reply.Revision = s.server.machine.Revision()
		for _, count := range s.server.sessions.counts(s.server.config.Now()) {
			reply.Sessions += count
		}
		if s.server.failed != nil {
			reply.Failed = s.server.failed.Error()
		}
	})
}

// Configure changes the control members by one.
func (s *Service) Configure(query ConfigQuery, reply *ConfigReply) error {
	proposed, leader := s.server.configure(query)
	if leader != nil && !query.Forwarded {
		query.Forwarded = true
		return leader.call("Configure", query, reply, answerTimeout)
	}
	reply.Refused, reply.Unknown = proposed.Refused, proposed.Unknown
	return nil
}

func (s *Server) renew(query RenewQuery) RenewReply {
	query.Member.Via = s.config.Instance
	if reason := s.ensureJoined(query.Member); reason != "" {
		return RenewReply{Reason: reason}
	}
	var reply RenewReply
	err := s.read(func(ok bool) {
		if !ok {
			reply.Reason = "no majority confirmed the renewal"
			return
		}
		if !s.joined(query.Member) {
			reply.Reason = "the membership changed meanwhile"
			return
		}
		id := tabulator.MemberID{Instance: query.Member.Instance, Incarnation: query.Member.Incarnation}
		now := s.config.Now()
		s.sessions.onGrant(id, query.Have, query.Requests, now)
		reply.Requests = s.sessions.allRequests(now)
		reply.Granted = true
		reply.Delta = s.machine.Delta(query.Have)
		reply.Renewal = s.config.Renewal
		if s.config.Founding != nil {
			reply.Control = s.voterInstances()
		}
	})
	if err != nil {
		return RenewReply{Reason: err.Error()}
	}
	if s.config.Board != nil {
		reply.Roster = s.config.Board.ChangesSince(query.Roster)
		reply.Reading = s.config.Board.Reading()
	}
	return reply
}

// ensureJoined registers the member through this control instance where it is not.
func (s *Server) ensureJoined(member tabulator.MemberFields) string {
	known := false
	err := s.await(func(done func()) {
		known = s.joined(member)
		done()
	})
	if err != nil {
		return err.Error()
	}
	if known {
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

func (s *Server) joined(member tabulator.MemberFields) bool {
	current, ok := s.machine.Member(member.Instance)
	return ok && current.Incarnation == member.Incarnation && current.Via == member.Via
}

// read runs work in the loop once the state machine is fresh; ok is false where no majority confirmed that.
func (s *Server) read(work func(ok bool)) error {
	return s.await(func(done func()) {
		s.confirms.add(s, func(ok bool) {
			work(ok)
			done()
		})
	})
}

// await runs work in the loop and waits until it calls done.
func (s *Server) await(work func(done func())) error {
	finished := make(chan struct{})
	if err := s.do(func() { work(func() { close(finished) }) }); err != nil {
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
