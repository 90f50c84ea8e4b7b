package replicator

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// RoleFollower replicates the log of a leader, or waits for a leader.
	RoleFollower Role = "follower"
	// RolePreCandidate asks the voters whether it could win an election.
	RolePreCandidate Role = "pre-candidate"
	// RoleCandidate requests votes in an election.
	RoleCandidate Role = "candidate"
	// RoleLeader appends entries to the log and replicates them.
	RoleLeader Role = "leader"
)

type (
	// Role is the Raft role of a node in its current term.
	Role string

	// Core is the Raft state machine of one node. It is not safe for concurrent use.
	Core struct {
		id     NodeID
		random *rand.Rand
		log    *entryLog
		term   uint64
		vote   NodeID
		role   Role
		leader NodeID
		commit uint64
		// applied is the index of the last entry returned as committed.
		applied         uint64
		votes           map[NodeID]bool
		progress        map[NodeID]*progress
		now             time.Duration
		electionAt      time.Duration
		leaderContactAt time.Duration
		heartbeatAt     time.Duration
		readRounds      readRounds
		isLeaving       bool
		output          Output
	}

	// progress is the replication state of another node, as seen by the leader.
	progress struct {
		nextIndex     uint64
		matchIndex    uint64
		lastContactAt time.Duration
		ackedRound    uint64
		isLeaving     bool
		// retransmitIndex is the first entry of the last retransmission after a rejection, which was sent at retransmitAt.
		retransmitIndex uint64
		retransmitAt    time.Duration
	}

	// Status describes the state of a node.
	Status struct {
		ID     NodeID
		Role   Role
		Leader NodeID
		Term   uint64
		// Commit is the commit index.
		Commit    uint64
		LastIndex uint64
		// LogLength is the number of entries after the snapshot.
		LogLength int
		Config    Config
		// Match is the highest replicated index of each other node. It is empty unless this node is the leader.
		Match map[NodeID]uint64
		// HeardAt is the time of the last reply of each node or, before its first reply, the time from which the leader tracks it.
		// A node that is not the leader lists only itself.
		HeardAt map[NodeID]time.Duration
		// Leaving has an entry for each node that is about to stop. A node that is not the leader lists at most itself.
		Leaving map[NodeID]bool
	}
)

// New returns a follower that continues from saved, or an error if a saved config entry is invalid.
func New(id NodeID, saved PersistentState, now time.Duration, random *rand.Rand) (*Core, error) {
	log, err := newEntryLog(saved)
	if err != nil {
		return nil, err
	}
	core := &Core{
		id: id, random: random, log: log, term: saved.Term, vote: saved.Vote, role: RoleFollower, now: now,
		commit: saved.Snapshot.Index, applied: saved.Snapshot.Index, leaderContactAt: now - ElectionTimeout,
	}
	core.electionAt = now + time.Duration(random.Int64N(int64(initialElectionJitter)))
	return core, nil
}

// Step processes one input at the given monotonic time and returns the Output that the caller has to carry out.
func (c *Core) Step(input Input, now time.Duration) Output {
	c.now = now
	c.output = Output{}
	switch in := input.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(in.Message)
	case Propose:
		c.propose(in.Tag, Entry{Kind: EntryCommand, Data: in.Data})
	case ProposeConfig:
		c.proposeConfig(in)
	case ReadIndex:
		c.requestReadIndex(in.ID)
	case Compact:
		c.compact(in)
	case Leave:
		c.isLeaving = true
	}
	c.collectCommitted()
	return c.output
}

// Status returns the state of the node.
func (c *Core) Status() Status {
	status := Status{
		ID: c.id, Role: c.role, Leader: c.leader, Term: c.term, Commit: c.commit,
		LastIndex: c.log.lastIndex(), LogLength: len(c.log.entries), Config: c.log.config, Match: map[NodeID]uint64{},
		HeardAt: map[NodeID]time.Duration{c.id: c.now}, Leaving: map[NodeID]bool{},
	}
	if c.isLeaving {
		status.Leaving[c.id] = true
	}
	for id, p := range c.progress {
		if id == c.id {
			continue
		}
		status.Match[id] = p.matchIndex
		status.HeardAt[id] = p.lastContactAt
		if p.isLeaving {
			status.Leaving[id] = true
		}
	}
	return status
}

// IsEstablishedLeader reports whether this node is the leader and has committed an entry of its term. Only then is its commit index
// known to cover all entries that earlier leaders committed.
func (c *Core) IsEstablishedLeader() bool {
	term, _ := c.log.term(c.commit)
	return c.role == RoleLeader && term == c.term
}

// Leader returns the ID of the leader known to this node, or an empty ID.
func (c *Core) Leader() NodeID { return c.leader }

// Role returns the current role of this node.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// IsMember reports whether this node is a voter or a learner in the newest config in its log.
func (c *Core) IsMember() bool { return c.log.config.HasVoter(c.id) || c.log.config.HasLearner(c.id) }

// Config returns the newest config in the log of this node, committed or not.
func (c *Core) Config() Config { return c.log.config }

// IsConfigCommitted reports whether the newest config in the log of this node is known to be committed.
func (c *Core) IsConfigCommitted() bool { return c.commit >= c.log.configIndex }

// LastLeaderContact returns the monotonic time of the last append or snapshot from a leader. Before the first one, it is
// ElectionTimeout before the start.
func (c *Core) LastLeaderContact() time.Duration { return c.leaderContactAt }

// LogBytes returns the size of the entry data after the snapshot, in bytes.
func (c *Core) LogBytes() int {
	total := 0
	for _, entry := range c.log.entries {
		total += len(entry.Data)
	}
	return total
}

// LogLength returns the number of entries after the snapshot.
func (c *Core) LogLength() int { return len(c.log.entries) }

func (c *Core) tick() {
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionAt && c.log.config.HasVoter(c.id) {
		c.startPreVote()
	}
	c.readRounds.expireQueued(c)
}

func (c *Core) tickLeader() {
	if !c.hasActiveQuorum() {
		c.becomeFollower(c.term, "")
		return
	}
	if c.now >= c.heartbeatAt {
		c.broadcast()
	}
}

// hasActiveQuorum reports whether a majority of the voters replied within the election timeout.
func (c *Core) hasActiveQuorum() bool {
	active := 0
	for _, id := range c.log.config.Voters {
		if id == c.id || c.now-c.progress[id].lastContactAt < ElectionTimeout {
			active++
		}
	}
	return active >= c.log.config.quorum()
}

func (c *Core) receive(m Message) {
	if m.To != c.id {
		return
	}
	if m.Term > c.term && !c.keepsCurrentTerm(m) {
		leader := NodeID("")
		if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
			leader = m.From
		}
		c.becomeFollower(m.Term, leader)
	}
	switch m.Kind {
	case MessagePreVote:
		c.onPreVote(m)
	case MessagePreVoteReply:
		c.onPreVoteReply(m)
	case MessageVote:
		c.onVote(m)
	case MessageVoteReply:
		c.onVoteReply(m)
	case MessageAppend:
		c.onAppend(m)
	case MessageAppendReply:
		c.onAppendReply(m)
	case MessageSnapshot:
		c.onSnapshot(m)
	case MessageReadIndex:
		c.onReadIndex(m)
	case MessageReadIndexReply:
		c.onReadIndexReply(m)
	}
}

// keepsCurrentTerm reports whether this node keeps its term on a message with a higher term. Votes requested while a leader is
// active must not force an election.
func (c *Core) keepsCurrentTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote, MessageReadIndex, MessageReadIndexReply:
		return true
	case MessagePreVoteReply:
		return m.Granted
	case MessageVote:
		return c.hasRecentLeader()
	}
	return false
}

// hasRecentLeader reports whether this node leads or received a message from a leader within the shortest election timeout.
func (c *Core) hasRecentLeader() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.leader != "" && c.now-c.leaderContactAt < ElectionTimeout
}

func (c *Core) becomeFollower(term uint64, leader NodeID) {
	if term > c.term {
		c.term = term
		c.vote = ""
		c.saveVote()
	}
	wasLeader := c.role == RoleLeader
	c.role = RoleFollower
	c.leader = leader
	if wasLeader {
		c.readRounds.failAll(c)
		c.progress = nil
	}
	c.resetElectionTimer()
}

func (c *Core) resetElectionTimer() {
	c.electionAt = c.now + ElectionTimeout + time.Duration(c.random.Int64N(int64(ElectionTimeout)))
}

// scheduleElectionRetry sets a shorter election timeout than resetElectionTimer, for use while no leader is active.
func (c *Core) scheduleElectionRetry() {
	c.electionAt = c.now + electionRetryTimeout + time.Duration(c.random.Int64N(int64(electionRetryJitter)))
}

func (c *Core) saveVote() {
	c.output.Writes = append(c.output.Writes, SaveVote{Term: c.term, Vote: c.vote})
}

func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.output.Messages = append(c.output.Messages, m)
}

// collectCommitted adds the entries committed since the last step to the output.
func (c *Core) collectCommitted() {
	if c.commit > c.applied {
		c.output.Committed = c.log.slice(c.applied+1, c.commit)
		c.applied = c.commit
	}
}

func (c *Core) compact(in Compact) {
	if in.Index <= c.log.snapshot.Index || in.Index > c.applied {
		return
	}
	snapshot := c.log.compact(in.Index, in.Data)
	c.output.Writes = append(c.output.Writes, SaveSnapshot{Snapshot: snapshot})
}

// advanceCommit commits all entries up to the highest index that a majority holds, provided that the entry at this index is of
// the leader's own term.
func (c *Core) advanceCommit() {
	matches := make([]uint64, 0, len(c.log.config.Voters))
	for _, id := range c.log.config.Voters {
		if id == c.id {
			matches = append(matches, c.log.lastIndex())
			continue
		}
		matches = append(matches, c.progress[id].matchIndex)
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	index := matches[c.log.config.quorum()-1]
	term, _ := c.log.term(index)
	if index > c.commit && term == c.term {
		c.commit = index
		c.broadcast()
		c.stepDownIfRemoved()
	}
}

func (c *Core) stepDownIfRemoved() {
	if c.IsConfigCommitted() && !c.log.config.HasVoter(c.id) {
		c.becomeFollower(c.term, "")
	}
}
