// The harness drives real cores over a network in memory that loses, repeats,
// reorders and cuts in one direction, and crashes nodes at every point at
// which they write.

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
		id       NodeID
		core     *Core
		disk     Saved
		up       bool
		frozen   int
		skew     time.Duration
		applied  []Entry
		restored uint64
	}

	pendingRead struct {
		node  NodeID
		floor uint64
	}

	cluster struct {
		random    *rand.Rand
		now       time.Duration
		nodes     map[NodeID]*testNode
		order     []NodeID
		messages  []Message
		cuts      map[[2]NodeID]bool
		committed map[uint64]Entry
		highest   uint64
		leaders   map[uint64]NodeID
		votes     map[string]NodeID
		acked     map[uint64]Entry
		tags      map[uint64]string
		waiting   map[uint64]Proposed
		reads     map[uint64]pendingRead
		confirms  int
		confirmed map[uint64]uint64
		nextTag   uint64
		nextRead  uint64
		faults    []string
		unsynced  bool
	}
)

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), nodes: map[NodeID]*testNode{}, cuts: map[[2]NodeID]bool{},
		committed: map[uint64]Entry{}, leaders: map[uint64]NodeID{}, votes: map[string]NodeID{}, acked: map[uint64]Entry{},
		tags: map[uint64]string{}, waiting: map[uint64]Proposed{}, reads: map[uint64]pendingRead{}, confirmed: map[uint64]uint64{},
	}
	var voters []NodeID
	for i := range size {
		voters = append(voters, NodeID(fmt.Sprintf("n%d/first", i+1)))
	}
	for _, id := range voters {
		c.addNode(id, Saved{Snapshot: Snapshot{Config: Config{Voters: voters}}})
	}
	return c
}

func (c *cluster) addNode(id NodeID, disk Saved) {
	n := &testNode{id: id, disk: disk}
	c.nodes[id] = n
	c.order = append(c.order, id)
	c.start(n)
}

func (c *cluster) start(n *testNode) {
	core, err := New(n.id, cloneSaved(n.disk), c.now+n.skew, c.random)
	if err != nil {
		c.fault("start %s: %v", n.id, err)
		return
	}
	n.core, n.up = core, true
	n.applied = nil
	n.restored = n.disk.Snapshot.Index
}

func (c *cluster) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("at %s: ", c.now)+fmt.Sprintf(format, args...))
}

// step feeds one input and carries out the output; a crash may come before the writes, or between writes and messages.
func (c *cluster) step(n *testNode, input Input, mayCrash bool) {
	if !n.up || n.frozen > 0 {
		return
	}
	out := n.core.Step(input, c.now+n.skew)
	crash := 0
	if mayCrash {
		crash = c.random.IntN(3)
	}
	if crash == 1 {
		n.up = false
		return
	}
	for i, write := range out.Writes {
		if mayCrash && crash == 2 && c.random.IntN(2) == 0 && i > 0 {
			n.up = false
			return
		}
		if !c.unsynced {
			n.save(write)
		}
	}
	if crash == 2 {
		n.up = false
		return
	}
	for _, message := range out.Messages {
		c.watchVote(message)
		c.messages = append(c.messages, message)
	}
	c.take(n, out)
}

func (c *cluster) take(n *testNode, out Output) {
	if out.Restore != nil {
		n.restored = out.Restore.Index
		n.applied = nil
	}
	for _, entry := range out.Committed {
		c.onCommitted(n, entry)
	}
	for _, proposed := range out.Proposed {
		if proposed.Refused == "" {
			c.waiting[proposed.Tag] = proposed
		}
	}
	for _, confirmed := range out.Confirmed {
		c.onConfirmed(confirmed)
	}
	c.watchLeader(n)
}

func (c *cluster) onCommitted(n *testNode, entry Entry) {
	known, ok := c.committed[entry.Index]
	if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		c.fault("%s committed another entry %d: term %d %q, known term %d %q", n.id, entry.Index, entry.Term, entry.Data, known.Term, known.Data)
	}
	expected := n.restored + uint64(len(n.applied)) + 1
	if entry.Index != expected {
		c.fault("%s applied entry %d, expected %d", n.id, entry.Index, expected)
	}
	n.applied = append(n.applied, entry)
	c.committed[entry.Index] = entry
	for tag, proposed := range c.waiting {
		if proposed.Index == entry.Index {
			delete(c.waiting, tag)
			if proposed.Term == entry.Term {
				c.acked[tag] = entry
				c.highest = max(c.highest, entry.Index)
			}
		}
	}
}

func (c *cluster) onConfirmed(confirmed Confirmed) {
	read, ok := c.reads[confirmed.ID]
	if !ok {
		c.fault("confirmation %d came twice", confirmed.ID)
		return
	}
	delete(c.reads, confirmed.ID)
	if !confirmed.OK {
		return
	}
	c.confirms++
	c.confirmed[confirmed.ID] = confirmed.Index
	if confirmed.Index < read.floor {
		c.fault("%s confirmed index %d, but %d had been acknowledged before it asked", read.node, confirmed.Index, read.floor)
	}
}

func (c *cluster) watchLeader(n *testNode) {
	status := n.core.Status()
	if status.Role != RoleLeader {
		return
	}
	if other, ok := c.leaders[status.Term]; ok && other != n.id {
		c.fault("two leaders in term %d: %s and %s", status.Term, other, n.id)
	}
	c.leaders[status.Term] = n.id
}

func (c *cluster) watchVote(m Message) {
	if m.Kind != MessageVoteReply || !m.Granted {
		return
	}
	key := fmt.Sprintf("%s@%d", m.From, m.Term)
	if other, ok := c.votes[key]; ok && other != m.To {
		c.fault("%s voted for %s and %s in term %d", m.From, other, m.To, m.Term)
	}
	c.votes[key] = m.To
}

func (c *cluster) propose(n *testNode, value string) {
	c.nextTag++
	c.tags[c.nextTag] = value
	c.step(n, Propose{Tag: c.nextTag, Data: []byte(value)}, false)
}

func (c *cluster) confirm(n *testNode) {
	if !n.up || n.frozen > 0 {
		return
	}
	c.nextRead++
	c.reads[c.nextRead] = pendingRead{node: n.id, floor: c.highest}
	c.step(n, Confirm{ID: c.nextRead}, false)
}

func (c *cluster) deliver(i int, keep, mayCrash bool) {
	message := c.messages[i]
	if !keep {
		c.messages = append(c.messages[:i], c.messages[i+1:]...)
	}
	if c.cuts[[2]NodeID{message.From, message.To}] {
		return
	}
	if n := c.nodes[message.To]; n != nil {
		if n.frozen > 0 {
			c.messages = append(c.messages, message)
		}
		c.step(n, Receive{Message: cloneMessage(message)}, mayCrash)
	}
}

func (c *cluster) compact(n *testNode) {
	if !n.up || len(n.applied) == 0 {
		return
	}
	index := n.applied[len(n.applied)-1].Index
	c.step(n, Compact{Index: index, Data: []byte(fmt.Sprint(index))}, false)
}

// thaw lets frozen nodes go on; the first thing they do may be to answer a reader or an operator.
func (c *cluster) thaw(steps int) {
	for _, id := range c.order {
		n := c.nodes[id]
		if n == nil || n.frozen == 0 {
			continue
		}
		n.frozen = max(0, n.frozen-steps)
		if n.frozen > 0 {
			continue
		}
		c.confirm(n)
		c.propose(n, "after a freeze")
	}
}

// settle heals everything and lets the cluster run until all nodes agree.
func (c *cluster) settle() {
	c.cuts = map[[2]NodeID]bool{}
	c.thaw(math.MaxInt)
	for _, id := range c.order {
		if n := c.nodes[id]; n != nil && !n.up {
			c.start(n)
		}
	}
	for range 800 {
		c.now += stepTime
		for _, id := range c.order {
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

// checkDurable compares what was acknowledged with what the leader holds in the end.
func (c *cluster) checkDurable() {
	var leader *testNode
	for _, id := range c.order {
		if n := c.nodes[id]; n != nil && n.up && n.core.Leading() {
			leader = n
		}
	}
	if leader == nil {
		c.fault("no leader after everything healed")
		return
	}
	commit := leader.core.Status().Commit
	for tag, entry := range c.acked {
		known := c.committed[entry.Index]
		if entry.Index > commit || known.Term != entry.Term {
			c.fault("acknowledged change %d (%s) at index %d is lost; the leader has committed %d", tag, c.tags[tag], entry.Index, commit)
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

func (c *cluster) up() []*testNode {
	var nodes []*testNode
	for _, id := range c.order {
		if n := c.nodes[id]; n != nil && n.up {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (c *cluster) anyNode() *testNode {
	ids := append([]NodeID(nil), c.order...)
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return c.nodes[ids[c.random.IntN(len(ids))]]
}

func cloneSaved(s Saved) Saved {
	s.Entries = append([]Entry(nil), s.Entries...)
	return s
}

func cloneMessage(m Message) Message {
	m.Entries = append([]Entry(nil), m.Entries...)
	return m
}
