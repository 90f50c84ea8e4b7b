package replicator

func (c *Core) startPreVote() {
	c.role = RolePreCandidate
	c.leader = ""
	c.votes = map[NodeID]bool{c.id: true}
	c.scheduleElectionRetry()
	if len(c.votes) >= c.log.config.quorum() {
		c.startElection()
		return
	}
	c.requestVotes(MessagePreVote, c.term+1)
}

func (c *Core) startElection() {
	c.role = RoleCandidate
	c.term++
	c.vote = c.id
	c.saveVote()
	c.votes = map[NodeID]bool{c.id: true}
	c.scheduleElectionRetry()
	if len(c.votes) >= c.log.config.quorum() {
		c.becomeLeader()
		return
	}
	c.requestVotes(MessageVote, c.term)
}

func (c *Core) requestVotes(kind MessageKind, term uint64) {
	for _, id := range c.log.config.Voters {
		if id != c.id {
			c.send(Message{Kind: kind, To: id, Term: term, LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm()})
		}
	}
}

func (c *Core) onPreVote(m Message) {
	granted := m.Term > c.term && !c.hasRecentLeader() && c.hasUpToDateLog(m) && c.IsMember()
	term := c.term
	if granted {
		term = m.Term
		c.deferElection(m.From)
	}
	c.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: term, Granted: granted})
}

// deferElection postpones this node's own election in favour of the candidate whose pre-vote it granted. Nodes that start at the
// same time would otherwise split the vote. If two pre-candidates request pre-votes from each other, the one with the lower ID
// continues.
func (c *Core) deferElection(candidate NodeID) {
	switch {
	case c.role == RoleFollower:
		c.scheduleElectionRetry()
	case c.role == RolePreCandidate && candidate < c.id:
		c.role = RoleFollower
		c.scheduleElectionRetry()
	}
}

func (c *Core) onPreVoteReply(m Message) {
	if c.role != RolePreCandidate || !m.Granted || m.Term != c.term+1 {
		return
	}
	if c.recordVote(m.From) {
		c.startElection()
	}
}

func (c *Core) onVote(m Message) {
	if m.Term < c.term || (m.Term > c.term && c.hasRecentLeader()) {
		c.send(Message{Kind: MessageVoteReply, To: m.From, Granted: false})
		return
	}
	canVote := c.vote == "" || c.vote == m.From
	granted := canVote && c.hasUpToDateLog(m) && c.IsMember()
	if granted {
		c.vote = m.From
		c.saveVote()
		c.resetElectionTimer()
	}
	c.send(Message{Kind: MessageVoteReply, To: m.From, Granted: granted})
}

func (c *Core) onVoteReply(m Message) {
	if c.role != RoleCandidate || !m.Granted || m.Term != c.term {
		return
	}
	if c.recordVote(m.From) {
		c.becomeLeader()
	}
}

// recordVote records a granted vote and reports whether a majority is reached.
func (c *Core) recordVote(from NodeID) bool {
	if c.log.config.HasVoter(from) {
		c.votes[from] = true
	}
	return len(c.votes) >= c.log.config.quorum()
}

func (c *Core) hasUpToDateLog(m Message) bool {
	if m.LastTerm != c.log.lastTerm() {
		return m.LastTerm > c.log.lastTerm()
	}
	return m.LastIndex >= c.log.lastIndex()
}

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.id
	c.progress = map[NodeID]*progress{}
	c.readRounds = readRounds{queued: c.readRounds.queued}
	c.updateProgress()
	c.appendAsLeader(Entry{Kind: EntryNoOp})
}

// updateProgress adds progress records for new members and removes those of former members.
func (c *Core) updateProgress() {
	for _, id := range c.log.config.members() {
		if c.progress[id] == nil {
			c.progress[id] = &progress{nextIndex: c.log.lastIndex() + 1, lastContactAt: c.now}
		}
	}
	for id := range c.progress {
		if !c.log.config.HasVoter(id) && !c.log.config.HasLearner(id) {
			delete(c.progress, id)
		}
	}
}
