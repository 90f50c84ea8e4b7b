package controller

import (
	"time"

	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
)

const (
	refusedNoLeader     = "no leader is known"
	refusedTooFewVoters = "the log has fewer voters than it should have"
)

func (s *Server) propose(command tabulator.Command) ProposeReply {
	data, err := tabulator.Encode(command)
	if err != nil {
		return ProposeReply{Refused: err.Error()}
	}
	return s.proposeEncoded(data, false)
}

// proposeEncoded proposes the encoded command if this instance is the leader, and forwards it to the leader otherwise. A
// command that was already forwarded once is refused.
func (s *Server) proposeEncoded(data []byte, isForwarded bool) ProposeReply {
	command, err := tabulator.Decode(data)
	if err != nil {
		return ProposeReply{Refused: err.Error()}
	}
	if _, ok := command.(tabulator.StartRollout); ok {
		if refusal := s.refuseRollout(); refusal != "" {
			return ProposeReply{Refused: refusal}
		}
	}
	reply, leader := s.submit(func(tag uint64) replicator.Input {
		return replicator.Propose{Tag: tag, Data: data}
	})
	if leader == nil {
		return reply
	}
	if isForwarded {
		return ProposeReply{Refused: refusedNoLeader}
	}
	var leaderReply ProposeReply
	if err := leader.call("Propose", ProposeQuery{Command: data, Forwarded: true}, &leaderReply, answerTimeout); err != nil {
		return ProposeReply{Unknown: true}
	}
	return leaderReply
}

func (s *Server) configure(query ConfigQuery) (ProposeReply, *peer) {
	return s.submit(func(tag uint64) replicator.Input {
		return replicator.ProposeConfig{Tag: tag, Config: changeConfig(s.core.Status().Config, query)}
	})
}

// submit proposes the input and waits for the outcome if this instance is the leader. Otherwise it returns the leader, or a
// refusal if none is known.
func (s *Server) submit(newInput func(tag uint64) replicator.Input) (ProposeReply, *peer) {
	done := make(chan ProposeReply, 1)
	leaderPeer := make(chan *peer, 1)
	err := s.enqueue(func() {
		if !s.isLeader() {
			if leader := s.leader(); leader != s.config.Instance {
				if p, ok := s.peerFor(leader); ok {
					leaderPeer <- p
					return
				}
			}
			refusal := refusedNoLeader
			if s.failed != nil {
				refusal = s.failed.Error()
			}
			done <- ProposeReply{Refused: refusal}
			return
		}
		s.lastTag++
		proposed := newInput(s.lastTag)
		if _, ok := proposed.(replicator.Propose); ok && !s.membership.allowsCommands(s) {
			done <- ProposeReply{Refused: refusedTooFewVoters}
			return
		}
		s.waiters[tagKey(s.lastTag)] = proposal{done: done}
		s.step(proposed)
	})
	if err != nil {
		return ProposeReply{Refused: err.Error()}, nil
	}
	select {
	case reply := <-done:
		return reply, nil
	case leader := <-leaderPeer:
		return ProposeReply{}, leader
	case <-s.stop:
		return ProposeReply{Unknown: true}, nil
	case <-time.After(answerTimeout):
		return ProposeReply{Unknown: true}, nil
	}
}

// onProposed rekeys each waiting proposal from its tag to the log index of its entry, or reports its refusal.
func (s *Server) onProposed(results []replicator.ProposalResult) {
	for _, result := range results {
		waiter, ok := s.waiters[tagKey(result.Tag)]
		if !ok {
			continue
		}
		delete(s.waiters, tagKey(result.Tag))
		if result.RefusalReason != "" {
			waiter.done <- ProposeReply{Refused: result.RefusalReason}
			continue
		}
		waiter.term = result.Term
		s.waiters[result.Index] = waiter
	}
}

// tagKey returns the key of a proposal that has no log index yet. Log indexes never have the highest bit set, so the two
// kinds of keys cannot collide.
func tagKey(tag uint64) uint64 { return tag | 1<<63 }

func changeConfig(config replicator.Config, query ConfigQuery) replicator.Config {
	next := replicator.Config{
		Voters: removeNode(config.Voters, query.Node), Learners: removeNode(config.Learners, query.Node),
	}
	switch query.Action {
	case ActionAddLearner:
		next.Learners = append(next.Learners, query.Node)
	case ActionPromote:
		next.Voters = append(next.Voters, query.Node)
	}
	return next
}

func removeNode(nodes []replicator.NodeID, node replicator.NodeID) []replicator.NodeID {
	kept := make([]replicator.NodeID, 0, len(nodes))
	for _, other := range nodes {
		if other != node {
			kept = append(kept, other)
		}
	}
	return kept
}
