package replicator

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// RoleFollower follows a leader or waits for one.
	RoleFollower Role = "follower"
	// RolePreCandidate asks whether an election could be won.
	RolePreCandidate Role = "pre-candidate"
	// RoleCandidate asks for votes.
	RoleCandidate Role = "candidate"
	// RoleLeader orders the log.
	RoleLeader Role = "leader"
)

type (
	// Role is the part a node plays in its term.
	Role string

	// Core is the state of one node; it belongs to one goroutine.
	Core struct {
		id       NodeID
		random   *rand.Rand
		log      *entryLog
		term     uint64
		vote     NodeID
		role     Role
		leader   NodeID
		commit   uint64
		applied  uint64
		votes    map[NodeID]bool
		progress map[NodeID]*progress
		now      time.Duration
		electAt  time.Duration
		heardAt  time.Duration
		beatAt   time.Duration
		rounds   rounds
		out      Output
	}

	progress struct {
		next    uint64
		match   uint64
		heardAt time.Duration
		round   uint64
		// resentFrom is the first entry that was sent again after a rejection, at resentAt.
		resentFrom uint64
		resentAt   time.Duration
	}

	// Status describes a node.
	Status struct {
		ID        NodeID
		Role      Role
		Leader    NodeID
		Term      uint64
		Commit    uint64
		LastIndex uint64
		LogLength int
		Config    Config
		Match     map[NodeID]uint64
		HeardAt   map[NodeID]time.Duration
	}
)

// New returns a follower that continues from what was saved.
func New(id NodeID, saved Saved, now time.Duration, random *rand.Rand) (*Core, error) {
	log, err := newEntryLog(saved)
	if err != nil {
		return nil, err
	}
	core := &Core{
		id: id, random: random, log: log, term: saved.Term, vote: saved.Vote, role: RoleFollower, now: now,
		commit: saved.Snapshot.Index, applied: saved.Snapshot.Index, heardAt: now - ElectionTimeout,
	}
	core.electAt = now + time.Duration(random.Int64N(int64(firstSpread)))
	return core, nil
}

// Step takes one input at the given time and returns what the caller has to do.
func (c *Core) Step(input Input, now time.Duration) Output {
	c.now = now
	c.out = Output{}
	switch in := input.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(in.Message)
	case Propose:
		c.propose(in.Tag, Entry{Kind: EntryCommand, Data: in.Data})
	case ProposeConfig:
		c.proposeConfig(in)
	case Confirm:
		c.confirm(in.ID)
	case Compact:
		c.compact(in)
	}
	c.release()
	return c.out
}

// Status returns a description of the node.
func (c *Core) Status() Status {
	status := Status{
		ID: c.id, Role: c.role, Leader: c.leader, Term: c.term, Commit: c.commit,
		LastIndex: c.log.lastIndex(), LogLength: len(c.log.entries), Config: c.log.config, Match: map[NodeID]uint64{},
		HeardAt: map[NodeID]time.Duration{c.id: c.now},
	}
	for id, p := range c.progress {
		status.Match[id] = p.match
		status.HeardAt[id] = p.heardAt
	}
	return status
}

// Leading tells whether the node leads and has committed an entry of its term.
func (c *Core) Leading() bool {
	term, _ := c.log.term(c.commit)
	return c.role == RoleLeader && term == c.term
}

// Leader returns the node that leads as far as this node knows, or an empty name.
func (c *Core) Leader() NodeID { return c.leader }

// Role returns the part that this node plays.
func (c *Core) Role() Role { return c.role }

// Term returns the present term.
func (c *Core) Term() uint64 { return c.term }

// Member tells whether this node votes or follows by the newest config that it knows.
func (c *Core) Member() bool { return c.log.config.Voter(c.id) || c.log.config.Learner(c.id) }

// Config returns the members by the newest config that this node knows.
func (c *Core) Config() Config { return c.log.config }

// HeardAt returns when this node last heard of its leader, on its steady clock.
func (c *Core) HeardAt() time.Duration { return c.heardAt }

// LogBytes returns how many bytes of commands follow the snapshot.
func (c *Core) LogBytes() int {
	total := 0
	for _, entry := range c.log.entries {
		total += len(entry.Data)
	}
	return total
}

// LogLength returns how many entries follow the snapshot.
func (c *Core) LogLength() int { return len(c.log.entries) }

func (c *Core) tick() {
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.now >= c.electAt && c.log.config.Voter(c.id) {
		c.startPreVote()
	}
	c.rounds.expire(c)
}

func (c *Core) tickLeader() {
	if !c.heardMajority() {
		c.becomeFollower(c.term, "")
		return
	}
	if c.now >= c.beatAt {
		c.broadcast()
	}
}

// heardMajority tells whether a majority answered within the election time-out.
func (c *Core) heardMajority() bool {
	heard := 0
	for _, id := range c.log.config.Voters {
		if id == c.id || c.now-c.progress[id].heardAt < ElectionTimeout {
			heard++
		}
	}
	return heard >= c.log.config.majority()
}

func (c *Core) receive(m Message) {
	if m.To != c.id {
		return
	}
	if m.Term > c.term && !c.keepsTerm(m) {
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
	case MessageConfirm:
		c.onConfirm(m)
	case MessageConfirmReply:
		c.onConfirmReply(m)
	}
}

// keepsTerm tells whether a message of a higher term leaves this node's term alone.
func (c *Core) keepsTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote, MessageConfirm, MessageConfirmReply:
		return true
	case MessagePreVoteReply:
		return m.Granted
	case MessageVote:
		return c.leaderIsRecent()
	}
	return false
}

// leaderIsRecent tells whether a leader was heard of within the shortest election time-out.
func (c *Core) leaderIsRecent() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.leader != "" && c.now-c.heardAt < ElectionTimeout
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
		c.rounds.failAll(c)
		c.progress = nil
	}
	c.resetElection()
}

func (c *Core) resetElection() {
	c.electAt = c.now + ElectionTimeout + time.Duration(c.random.Int64N(int64(ElectionTimeout)))
}

// electSoon sets the time of an election while no leader is known to live.
func (c *Core) electSoon() {
	c.electAt = c.now + soonElection + time.Duration(c.random.Int64N(int64(soonSpread)))
}

func (c *Core) saveVote() {
	c.out.Writes = append(c.out.Writes, SaveVote{Term: c.term, Vote: c.vote})
}

func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// release hands out the entries that were committed since the last step.
func (c *Core) release() {
	if c.commit > c.applied {
		c.out.Committed = c.log.slice(c.applied+1, c.commit)
		c.applied = c.commit
	}
}

func (c *Core) compact(in Compact) {
	if in.Index <= c.log.snapshot.Index || in.Index > c.applied {
		return
	}
	snapshot := c.log.compact(in.Index, in.Data)
	c.out.Writes = append(c.out.Writes, SaveSnapshot{Snapshot: snapshot})
}

// advanceCommit commits what a majority holds and the leader wrote in its own term.
func (c *Core) advanceCommit() {
	matches := make([]uint64, 0, len(c.log.config.Voters))
	for _, id := range c.log.config.Voters {
		if id == c.id {
			matches = append(matches, c.log.lastIndex())
			continue
		}
		matches = append(matches, c.progress[id].match)
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	index := matches[c.log.config.majority()-1]
	term, _ := c.log.term(index)
	if index > c.commit && term == c.term {
		c.commit = index
		c.broadcast()
		c.stepDownIfRemoved()
	}
}

func (c *Core) stepDownIfRemoved() {
	if c.commit >= c.log.configAt && !c.log.config.Voter(c.id) {
		c.becomeFollower(c.term, "")
	}
}
