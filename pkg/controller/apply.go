package controller

import (
	"time"

	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
)

const (
	snapshotEntries = 1000
	// snapshotBytes is the size of the commands since the last snapshot at which a new snapshot is taken. Three times this size
	// fits into a tenth of the smallest known disk, 128 MB.
	snapshotBytes   = 4 << 20
	logSizeInterval = time.Second
)

func (s *Server) restore(snapshot replicator.Snapshot) {
	machine, err := tabulator.Restore(snapshot.Data)
	if err != nil {
		s.fail(EventFailed, err)
		return
	}
	s.machine = machine
	s.appliedIndex = snapshot.Index
	s.rollouts.observe(s.machine, s.config.Now())
	s.config.Timeline.Add("snapshot-installed", s.config.Instance, "the table was taken over from the leader")
}

func (s *Server) apply(entry replicator.Entry) {
	s.appliedIndex = entry.Index
	var result tabulator.Result
	if entry.Kind == replicator.EntryCommand {
		command, err := tabulator.Decode(entry.Data)
		if err != nil {
			s.fail(EventFailed, err)
			return
		}
		oldRevision := s.machine.TableRevision()
		result = s.machine.Apply(command)
		if s.machine.TableRevision() != oldRevision {
			s.sessions.onTableChange(result.Revision, s.config.Now())
			s.rollouts.observe(s.machine, s.config.Now())
		}
	}
	waiter, ok := s.waiters[entry.Index]
	if !ok {
		return
	}
	delete(s.waiters, entry.Index)
	if waiter.term != entry.Term {
		waiter.done <- ProposeReply{Unknown: true}
		return
	}
	waiter.done <- ProposeReply{Result: result}
}

func (s *Server) compact() {
	if s.failed != nil || !s.isSnapshotDue() {
		return
	}
	data, err := s.machine.Snapshot()
	if err != nil {
		return
	}
	s.step(replicator.Compact{Index: s.appliedIndex, Data: data})
}

// isSnapshotDue reports whether the log is long or large enough for a snapshot. It checks the size only every logSizeInterval,
// because computing it walks the log.
func (s *Server) isSnapshotDue() bool {
	if s.core.LogLength() >= snapshotEntries {
		return true
	}
	now := s.config.Now()
	if now-s.logSizedAt < logSizeInterval {
		return false
	}
	s.logSizedAt = now
	return s.core.LogBytes() >= snapshotBytes
}
