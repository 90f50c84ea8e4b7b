package replicator

func (c *Core) startPreVote() {
	c.role = RolePreCandidate
	c.leader = ""
	c.votes = map[NodeID]bool{c.id: true}
	c.electSoon()
	if len(c.votes) >= c.log.config.majority() {
		c.startElection()
		return
	}
	c.askVotes(MessagePreVote, c.term+1)
}

func (c *Core) startElection() {
	c.role = RoleCandidate
	c.term++
	c.vote = c.id
	c.saveVote()
	c.votes = map[NodeID]bool{c.id: true}
	c.electSoon()
	if len(c.votes) >= c.log.config.majority() {
		c.becomeLeader()
		return
	}
	c.askVotes(MessageVote, c.term)
}

func (c *Core) askVotes(kind MessageKind, term uint64) {
	for _, id := range c.log.config.Voters {
		if id != c.id {
			c.send(Message{Kind: kind, To: id, Term: term, LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm()})
		}
	}
}

func (c *Core) onPreVote(m Message) {
	granted := m.Term > c.term && !c.leaderIsRecent() && c.upToDate(m) && c.Member()
	term := c.term
	if granted {
		term = m.Term
		c.yield(m.From)
	}
	c.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: term, Granted: granted})
}

// yield leaves the election to the node that asked: nodes that start together would else split the vote. Of two that
// ask each other, the one with the lower name goes on.
func (c *Core) yield(to NodeID) {
	switch {
	case c.role == RoleFollower:
		c.electSoon()
	case c.role == RolePreCandidate && to < c.id:
		c.role = RoleFollower
		c.electSoon()
	}
}

func (c *Core) onPreVoteReply(m Message) {
	if c.role != RolePreCandidate || !m.Granted || m.Term != c.term+1 {
		return
	}
	if c.collect(m.From) {
		c.startElection()
	}
}

func (c *Core) onVote(m Message) {
	if m.Term < c.term || (m.Term > c.term && c.leaderIsRecent()) {
		c.send(Message{Kind: MessageVoteReply, To: m.From, Granted: false})
		return
	}
	free := c.vote == "" || c.vote == m.From
	granted := free && c.upToDate(m) && c.Member()
	if granted {
		c.vote = m.From
		c.saveVote()
		c.resetElection()
	}
	c.send(Message{Kind: MessageVoteReply, To: m.From, Granted: granted})
}

func (c *Core) onVoteReply(m Message) {
	if c.role != RoleCandidate || !m.Granted || m.Term != c.term {
		return
	}
	if c.collect(m.From) {
		c.becomeLeader()
	}
}

// collect counts a vote and tells whether a majority is reached.
func (c *Core) collect(from NodeID) bool {
	if c.log.config.Voter(from) {
		c.votes[from] = true
	}
	return len(c.votes) >= c.log.config.majority()
}

func (c *Core) upToDate(m Message) bool {
	if m.LastTerm != c.log.lastTerm() {
		return m.LastTerm > c.log.lastTerm()
	}
	return m.LastIndex >= c.log.lastIndex()
}

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.id
	c.progress = map[NodeID]*progress{}
	c.rounds = rounds{waiting: c.rounds.waiting}
	c.trackMembers()
	c.appendOwn(Entry{Kind: EntryEmpty})
}

// trackMembers keeps one progress record for each other node of the config.
func (c *Core) trackMembers() {
	for _, id := range c.log.config.all() {
		if c.progress[id] == nil {
			c.progress[id] = &progress{next: c.log.lastIndex() + 1, heardAt: c.now}
		}
	}
	for id := range c.progress {
		if !c.log.config.Voter(id) && !c.log.config.Learner(id) {
			delete(c.progress, id)
		}
	}
}
