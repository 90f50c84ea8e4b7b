// The harness runs cores over an in-memory network that loses, duplicates and
// reorders messages and blocks links in one direction. It crashes nodes before,
// between and after their writes.

package replicator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

const stepTime = 10 * time.Millisecond

type (
	testNode struct {
		id        NodeID
		core      *Core
		disk      PersistentState
		isRunning bool
		// pausedSteps is the number of steps for which the node stays paused.
		pausedSteps   int
		clockOffset   time.Duration
		applied       []Entry
		restoredIndex uint64
	}

	// pendingRead is an unanswered read. Its read index must be at least minIndex.
	pendingRead struct {
		node     NodeID
		minIndex uint64
	}

	cluster struct {
		random    *rand.Rand
		now       time.Duration
		nodes     map[NodeID]*testNode
		nodeOrder []NodeID
		messages  []Message
		// blockedLinks are pairs of a sender and a receiver.
		blockedLinks map[[2]NodeID]bool
		// committed is keyed by index, leaders by term, votes by "voter@term", acked and proposedValues by the tag of the proposal.
		committed         map[uint64]Entry
		highestAckedIndex uint64
		leaders           map[uint64]NodeID
		votes             map[string]NodeID
		acked             map[uint64]Entry
		proposedValues    map[uint64]string
		pendingProposals  map[uint64]ProposalResult
		pendingReads      map[uint64]pendingRead
		completedReads    int
		readIndexes       map[uint64]uint64
		lastTag           uint64
		lastReadID        uint64
		violations        []string
		// dropsWrites makes the nodes lose all writes, to test the checks of the harness.
		dropsWrites bool
	}
)

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), nodes: map[NodeID]*testNode{}, blockedLinks: map[[2]NodeID]bool{},
		committed: map[uint64]Entry{}, leaders: map[uint64]NodeID{}, votes: map[string]NodeID{}, acked: map[uint64]Entry{},
		proposedValues: map[uint64]string{}, pendingProposals: map[uint64]ProposalResult{}, pendingReads: map[uint64]pendingRead{}, readIndexes: map[uint64]uint64{},
	}
	var voters []NodeID
	for i := range size {
		voters = append(voters, NodeID(fmt.Sprintf("n%d/first", i+1)))
	}
	for _, id := range voters {
		c.addNode(id, PersistentState{Snapshot: Snapshot{Config: Config{Voters: voters}}})
	}
	return c
}

func (c *cluster) addNode(id NodeID, disk PersistentState) {
	n := &testNode{id: id, disk: disk}
	c.nodes[id] = n
	c.nodeOrder = append(c.nodeOrder, id)
	c.start(n)
}

func (c *cluster) start(n *testNode) {
	core, err := New(n.id, cloneSaved(n.disk), c.now+n.clockOffset, c.random)
	if err != nil {
		c.reportViolation("start %s: %v", n.id, err)
		return
	}
	n.core, n.isRunning = core, true
	n.applied = nil
	n.restoredIndex = n.disk.Snapshot.Index
}

func (c *cluster) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %s: ", c.now)+fmt.Sprintf(format, args...))
}

// step passes one input to a node and carries out the output. With mayCrash, the node may crash before, between or after its
// writes, but before it sends messages.
func (c *cluster) step(n *testNode, input Input, mayCrash bool) {
	if !n.isRunning || n.pausedSteps > 0 {
		return
	}
	out := n.core.Step(input, c.now+n.clockOffset)
	crashPoint := 0
	if mayCrash {
		crashPoint = c.random.IntN(3)
	}
	if crashPoint == 1 {
		n.isRunning = false
		return
	}
	for i, write := range out.Writes {
		if mayCrash && crashPoint == 2 && c.random.IntN(2) == 0 && i > 0 {
			n.isRunning = false
			return
		}
		if !c.dropsWrites {
			n.save(write)
		}
	}
	if crashPoint == 2 {
		n.isRunning = false
		return
	}
	for _, message := range out.Messages {
		c.checkVote(message)
		c.messages = append(c.messages, message)
	}
	c.processOutput(n, out)
}

func (c *cluster) processOutput(n *testNode, out Output) {
	if out.Restore != nil {
		n.restoredIndex = out.Restore.Index
		n.applied = nil
	}
	for _, entry := range out.Committed {
		c.recordCommitted(n, entry)
	}
	for _, result := range out.ProposalResults {
		if result.RefusalReason == "" {
			c.pendingProposals[result.Tag] = result
		}
	}
	for _, result := range out.ReadIndexResults {
		c.recordReadIndex(result)
	}
	c.checkLeader(n)
}

func (c *cluster) recordCommitted(n *testNode, entry Entry) {
	known, ok := c.committed[entry.Index]
	if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		c.reportViolation("%s committed entry %d with term %d and data %q, want term %d and data %q", n.id, entry.Index, entry.Term, entry.Data, known.Term, known.Data)
	}
	expected := n.restoredIndex + uint64(len(n.applied)) + 1
	if entry.Index != expected {
		c.reportViolation("%s applied entry %d, want entry %d", n.id, entry.Index, expected)
	}
	n.applied = append(n.applied, entry)
	c.committed[entry.Index] = entry
	for tag, proposal := range c.pendingProposals {
		if proposal.Index == entry.Index {
			delete(c.pendingProposals, tag)
			if proposal.Term == entry.Term {
				c.acked[tag] = entry
				c.highestAckedIndex = max(c.highestAckedIndex, entry.Index)
			}
		}
	}
}

func (c *cluster) recordReadIndex(result ReadIndexResult) {
	read, ok := c.pendingReads[result.ID]
	if !ok {
		c.reportViolation("read %d got a second result", result.ID)
		return
	}
	delete(c.pendingReads, result.ID)
	if !result.OK {
		return
	}
	c.completedReads++
	c.readIndexes[result.ID] = result.Index
	if result.Index < read.minIndex {
		c.reportViolation("%s got read index %d, want at least %d, which was acknowledged before the request", read.node, result.Index, read.minIndex)
	}
}

func (c *cluster) checkLeader(n *testNode) {
	status := n.core.Status()
	if status.Role != RoleLeader {
		return
	}
	if other, ok := c.leaders[status.Term]; ok && other != n.id {
		c.reportViolation("two leaders in term %d: %s and %s", status.Term, other, n.id)
	}
	c.leaders[status.Term] = n.id
}

func (c *cluster) checkVote(m Message) {
	if m.Kind != MessageVoteReply || !m.Granted {
		return
	}
	key := fmt.Sprintf("%s@%d", m.From, m.Term)
	if other, ok := c.votes[key]; ok && other != m.To {
		c.reportViolation("%s voted for both %s and %s in term %d", m.From, other, m.To, m.Term)
	}
	c.votes[key] = m.To
}

func (c *cluster) propose(n *testNode, value string) {
	c.lastTag++
	c.proposedValues[c.lastTag] = value
	c.step(n, Propose{Tag: c.lastTag, Data: []byte(value)}, false)
}

func (c *cluster) requestRead(n *testNode) {
	if !n.isRunning || n.pausedSteps > 0 {
		return
	}
	c.lastReadID++
	c.pendingReads[c.lastReadID] = pendingRead{node: n.id, minIndex: c.highestAckedIndex}
	c.step(n, ReadIndex{ID: c.lastReadID}, false)
}

func (c *cluster) deliver(i int, duplicates, mayCrash bool) {
	message := c.messages[i]
	if !duplicates {
		c.messages = append(c.messages[:i], c.messages[i+1:]...)
	}
	if c.blockedLinks[[2]NodeID{message.From, message.To}] {
		return
	}
	if n := c.nodes[message.To]; n != nil {
		if n.pausedSteps > 0 {
			c.messages = append(c.messages, message)
		}
		c.step(n, Receive{Message: cloneMessage(message)}, mayCrash)
	}
}

func (c *cluster) compact(n *testNode) {
	if !n.isRunning || len(n.applied) == 0 {
		return
	}
	index := n.applied[len(n.applied)-1].Index
	c.step(n, Compact{Index: index, Data: []byte(fmt.Sprint(index))}, false)
}

// resumePaused resumes the nodes whose pause has ended. A resumed node gets a read and a proposal before anything else,
// while its state may be stale.
func (c *cluster) resumePaused(steps int) {
	for _, id := range c.nodeOrder {
		n := c.nodes[id]
		if n == nil || n.pausedSteps == 0 {
			continue
		}
		n.pausedSteps = max(0, n.pausedSteps-steps)
		if n.pausedSteps > 0 {
			continue
		}
		c.requestRead(n)
		c.propose(n, "after a pause")
	}
}

// settle unblocks all links, resumes and restarts all nodes, and runs the cluster for 8 s so that the nodes converge.
func (c *cluster) settle() {
	c.blockedLinks = map[[2]NodeID]bool{}
	c.resumePaused(math.MaxInt)
	for _, id := range c.nodeOrder {
		if n := c.nodes[id]; n != nil && !n.isRunning {
			c.start(n)
		}
	}
	for range 800 {
		c.now += stepTime
		for _, id := range c.nodeOrder {
			if n := c.nodes[id]; n != nil {
				c.step(n, Tick{}, false)
			}
		}
		for range 40 {
			if len(c.messages) == 0 {
				break
			}
			c.deliver(0, false, false)
		}
	}
}

// checkDurability checks that the leader has committed all acknowledged proposals.
func (c *cluster) checkDurability() {
	var leader *testNode
	for _, id := range c.nodeOrder {
		if n := c.nodes[id]; n != nil && n.isRunning && n.core.IsEstablishedLeader() {
			leader = n
		}
	}
	if leader == nil {
		c.reportViolation("no leader after all failures were repaired, want one")
		return
	}
	commit := leader.core.Status().Commit
	for tag, entry := range c.acked {
		known := c.committed[entry.Index]
		if entry.Index > commit || known.Term != entry.Term {
			c.reportViolation("acknowledged proposal %d (%s) at index %d is lost: the leader's commit index is %d", tag, c.proposedValues[tag], entry.Index, commit)
		}
	}
}

func (n *testNode) save(write Write) {
	switch w := write.(type) {
	case SaveVote:
		n.disk.Term, n.disk.Vote = w.Term, w.Vote
	case SaveEntries:
		for _, entry := range w.Entries {
			at := entry.Index - n.disk.Snapshot.Index - 1
			n.disk.Entries = append(n.disk.Entries[:at:at], entry)
		}
	case SaveSnapshot:
		var kept []Entry
		for _, entry := range n.disk.Entries {
			if entry.Index == w.Snapshot.Index && entry.Term != w.Snapshot.Term {
				kept = nil
				break
			}
			if entry.Index > w.Snapshot.Index {
				kept = append(kept, entry)
			}
		}
		if len(kept) > 0 && kept[0].Index != w.Snapshot.Index+1 {
			kept = nil
		}
		n.disk.Snapshot, n.disk.Entries = w.Snapshot, kept
	}
}

func (c *cluster) runningNodes() []*testNode {
	var nodes []*testNode
	for _, id := range c.nodeOrder {
		if n := c.nodes[id]; n != nil && n.isRunning {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (c *cluster) randomNode() *testNode {
	ids := append([]NodeID(nil), c.nodeOrder...)
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return c.nodes[ids[c.random.IntN(len(ids))]]
}

func cloneSaved(s PersistentState) PersistentState {
	s.Entries = append([]Entry(nil), s.Entries...)
	return s
}

func cloneMessage(m Message) Message {
	m.Entries = append([]Entry(nil), m.Entries...)
	return m
}
