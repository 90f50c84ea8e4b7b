// An instance whose store has failed to write acknowledges nothing. It tries to
// open the store again and then continues from the state on disk, as after a
// restart. Until then it takes no part in the replicated log and passes changes
// on to the leader, which it knows from the messages that it still receives.

package controller

import (
	"time"

	"lovagedeck/pkg/replicator"
)

// reopenInterval is the time between two tries to open the store again. Each writes the state since the last snapshot.
const reopenInterval = 300 * time.Millisecond

// reopening is the state of an instance while its store is not writable.
type reopening struct {
	// nextAt is the time of the next try.
	nextAt time.Duration
	// leader is the latest leader that sent entries or heartbeats, of the given term.
	leader replicator.NodeID
	term   uint64
}

// reopenIfDue tries to open the store again after a failed write.
func (s *Server) reopenIfDue() {
	if s.reopening == nil || s.config.Now() < s.reopening.nextAt {
		return
	}
	s.reopening.nextAt = s.config.Now() + reopenInterval
	saved, err := s.config.Store.Reopen()
	if err != nil {
		return
	}
	if err := s.continueFrom(saved); err != nil {
		s.reopening = nil
		s.fail(EventFailed, err)
		return
	}
	s.failed, s.reopening = nil, nil
	s.config.Timeline.Add(EventStoreReopened, s.config.Instance, "continues from the state on disk")
	s.config.OnEvent(EventStoreReopened, s.config.Instance, "continues from the state on disk")
}

// observe notes the leader from a message that this instance cannot process.
func (r *reopening) observe(m replicator.Message) {
	isFromLeader := m.Kind == replicator.MessageAppend || m.Kind == replicator.MessageSnapshot
	if isFromLeader && m.Term >= r.term {
		r.leader, r.term = m.From, m.Term
	}
}

// leader returns the instance that leads the replicated log, or an empty name if none is known.
func (s *Server) leader() string {
	switch {
	case s.reopening != nil:
		return instanceOf(s.reopening.leader)
	case s.failed != nil:
		return ""
	}
	return instanceOf(s.core.Leader())
}

func (s *Server) isLeader() bool { return s.failed == nil && s.core.Role() == replicator.RoleLeader }

// isEstablishedLeader reports whether this instance leads the log and knows all entries that were committed before.
func (s *Server) isEstablishedLeader() bool { return s.failed == nil && s.core.IsEstablishedLeader() }
