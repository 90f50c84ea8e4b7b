package replicator

func (c *Core) propose(tag uint64, entry Entry) {
	if c.role != RoleLeader {
		c.output.ProposalResults = append(c.output.ProposalResults, ProposalResult{Tag: tag, RefusalReason: "not the leader"})
		return
	}
	index := c.appendAsLeader(entry)
	c.output.ProposalResults = append(c.output.ProposalResults, ProposalResult{Tag: tag, Index: index, Term: c.term})
}

// proposeConfig appends a config that changes at most one voter and promotes only a learner that has all committed entries. Changes
// are made one at a time: a config is refused until the previous one is committed.
func (c *Core) proposeConfig(in ProposeConfig) {
	if reason := c.configRefusal(in.Config); reason != "" {
		c.output.ProposalResults = append(c.output.ProposalResults, ProposalResult{Tag: in.Tag, RefusalReason: reason})
		return
	}
	data, err := EncodeConfig(in.Config)
	if err != nil {
		c.output.ProposalResults = append(c.output.ProposalResults, ProposalResult{Tag: in.Tag, RefusalReason: err.Error()})
		return
	}
	c.propose(in.Tag, Entry{Kind: EntryConfig, Data: data})
}

// configRefusal returns why a config cannot be proposed now, or an empty string.
func (c *Core) configRefusal(config Config) string {
	switch {
	case c.role != RoleLeader:
		return "not the leader"
	case !c.IsEstablishedLeader():
		return "the leader has not committed an entry of its term yet"
	case !c.IsConfigCommitted():
		return "an earlier change of the members is not committed yet"
	case len(config.Voters) == 0:
		return "the change leaves no voter"
	case countChanges(c.log.config.Voters, config.Voters)+countChanges(c.log.config.Learners, config.Learners) > 2:
		return "the change touches more than one member"
	case countChanges(c.log.config.Voters, config.Voters) > 1:
		return "the change touches more than one voter"
	}
	for _, id := range config.Voters {
		if c.log.config.HasVoter(id) {
			continue
		}
		p := c.progress[id]
		if !c.log.config.HasLearner(id) || p == nil || p.matchIndex < c.commit {
			return "the new voter does not hold everything committed yet"
		}
	}
	return ""
}

// countChanges returns the number of nodes that are in only one of the two lists.
func countChanges(before, after []NodeID) int {
	count := 0
	for _, id := range before {
		if !contains(after, id) {
			count++
		}
	}
	for _, id := range after {
		if !contains(before, id) {
			count++
		}
	}
	return count
}

func (c *Core) appendAsLeader(entry Entry) uint64 {
	entry.Index = c.log.lastIndex() + 1
	entry.Term = c.term
	c.appendEntries([]Entry{entry})
	c.updateProgress()
	c.advanceCommit()
	c.broadcast()
	return entry.Index
}

func (c *Core) appendEntries(entries []Entry) {
	c.log.truncateAndAppend(entries)
	c.output.Writes = append(c.output.Writes, SaveEntries{Entries: entries})
}

// broadcast starts a new round of heartbeats and sends every other member the entries that it has not been sent.
func (c *Core) broadcast() {
	if c.role != RoleLeader {
		return
	}
	c.heartbeatAt = c.now + HeartbeatInterval
	c.readRounds.start()
	for _, id := range c.log.config.members() {
		if id != c.id {
			c.sendAppend(id)
		}
	}
	c.readRounds.completeInFlight(c)
}

// sendAppend sends the next entries to a node, or the snapshot if the log no longer holds the entry before them.
func (c *Core) sendAppend(to NodeID) {
	p := c.progress[to]
	prevTerm, ok := c.log.term(p.nextIndex - 1)
	if !ok {
		snapshot := c.log.snapshot
		c.send(Message{Kind: MessageSnapshot, To: to, Snapshot: &snapshot, Round: c.readRounds.lastRound})
		return
	}
	last := min(c.log.lastIndex(), p.nextIndex+maxEntriesPerMessage-1)
	c.send(Message{
		Kind: MessageAppend, To: to, LastIndex: p.nextIndex - 1, LastTerm: prevTerm,
		Entries: c.log.slice(p.nextIndex, last), Commit: c.commit, Round: c.readRounds.lastRound,
	})
	p.nextIndex = last + 1
}

func (c *Core) onAppend(m Message) {
	if m.Term < c.term {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Rejected: true, Match: c.log.lastIndex()})
		return
	}
	c.followLeader(m.From)
	prevTerm, ok := c.log.term(m.LastIndex)
	if m.LastIndex < c.log.snapshot.Index {
		c.replyAppend(m, c.commit, false)
		return
	}
	if !ok || prevTerm != m.LastTerm {
		c.replyAppend(m, min(c.log.lastIndex(), m.LastIndex-1), true)
		return
	}
	c.appendMissing(m.Entries)
	match := m.LastIndex + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, match))
	c.replyAppend(m, match, false)
}

// appendMissing appends the entries from the first one on that the log does not hold with the same term.
func (c *Core) appendMissing(entries []Entry) {
	for i, entry := range entries {
		term, ok := c.log.term(entry.Index)
		if !ok || term != entry.Term {
			c.appendEntries(entries[i:])
			return
		}
	}
}

func (c *Core) followLeader(leader NodeID) {
	if c.role != RoleFollower {
		c.becomeFollower(c.term, leader)
	}
	c.leader = leader
	c.leaderContactAt = c.now
	c.resetElectionTimer()
}

func (c *Core) replyAppend(m Message, match uint64, rejected bool) {
	c.send(Message{Kind: MessageAppendReply, To: m.From, Match: match, Rejected: rejected, Round: m.Round, Leaving: c.isLeaving})
}

func (c *Core) onAppendReply(m Message) {
	p := c.progress[m.From]
	if c.role != RoleLeader || m.Term != c.term || p == nil {
		return
	}
	p.lastContactAt = c.now
	p.ackedRound = max(p.ackedRound, m.Round)
	p.isLeaving = m.Leaving
	if m.Rejected {
		c.retransmit(p, m)
	} else if m.Match > p.matchIndex {
		p.matchIndex = m.Match
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		c.advanceCommit()
	}
	if c.role != RoleLeader {
		return
	}
	if p.nextIndex <= c.log.lastIndex() && !m.Rejected {
		c.sendAppend(m.From)
	}
	c.readRounds.completeInFlight(c)
}

// retransmit sends a node the missing entries after a rejection. A node that resumes after a pause rejects every message sent to it
// in the meantime, so retransmissions are limited to one per heartbeat interval, unless a rejection shows that earlier entries are
// missing.
func (c *Core) retransmit(p *progress, m Message) {
	firstIndex := max(p.matchIndex+1, min(p.nextIndex, m.Match+1))
	if p.retransmitIndex > 0 && firstIndex >= p.retransmitIndex && c.now < p.retransmitAt+HeartbeatInterval {
		return
	}
	p.nextIndex = firstIndex
	c.sendAppend(m.From)
	p.retransmitIndex, p.retransmitAt = firstIndex, c.now
}

func (c *Core) onSnapshot(m Message) {
	if m.Term < c.term || m.Snapshot == nil {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Rejected: true, Match: c.log.lastIndex()})
		return
	}
	c.followLeader(m.From)
	if m.Snapshot.Index > c.commit {
		snapshot := *m.Snapshot
		c.log.restore(snapshot)
		c.commit, c.applied = snapshot.Index, snapshot.Index
		c.output.Writes = append(c.output.Writes, SaveSnapshot{Snapshot: snapshot})
		c.output.Restore = &snapshot
	}
	c.replyAppend(m, c.commit, false)
}
