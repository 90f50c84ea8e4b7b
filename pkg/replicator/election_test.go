package replicator

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// All nodes start in the same moment, as after a power loss; callers wait until there is a leader.
func TestLeaderSoonAfterAllNodesStart(t *testing.T) {
	const runs = 300
	var delays []time.Duration
	for seed := range uint64(runs) {
		delays = append(delays, firstLeaderAfter(newCluster(seed, 5), 3*time.Second))
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	if p90 := delays[runs*9/10]; p90 > ElectionTimeout {
		t.Errorf("a leader after %v in 9 of 10 starts, want %v", p90, ElectionTimeout)
	}
	if last := delays[runs-1]; last > 2*ElectionTimeout {
		t.Errorf("a leader after %v in the slowest start, want %v", last, 2*ElectionTimeout)
	}
}

// After a power loss the nodes start one after the other; callers wait until the third of five has started.
func TestLeaderAtOnceWhenAMajorityHasStarted(t *testing.T) {
	const (
		runs  = 200
		apart = 150 * time.Millisecond
		limit = 80 * time.Millisecond
	)
	var delays []time.Duration
	for seed := range uint64(runs) {
		c := newCluster(seed, 5)
		for _, n := range c.up() {
			n.up = false
		}
		for _, id := range c.order[:3] {
			c.start(c.nodes[id])
			if id == c.order[2] {
				break
			}
			for until := c.now + apart; c.now < until; {
				c.turn()
			}
		}
		began := c.now
		delays = append(delays, firstLeaderAfter(c, began+3*time.Second)-began)
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	if p90 := delays[runs*9/10]; p90 > limit {
		t.Errorf("a leader %v after the third node in 9 of 10 starts, want %v", p90, limit)
	}
}

// A node that comes back beside a living leader must not take the lead from it.
func TestRestartedNodeKeepsTheLeader(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(seed, 5)
		firstLeaderAfter(c, 3*time.Second)
		leader := c.leader()
		for _, n := range c.up() {
			if n.id != leader {
				n.up = false
				c.start(n)
				break
			}
		}
		for range 100 {
			c.turn()
		}
		if now := c.leader(); now != leader {
			t.Fatalf("seed %d: the lead went from %s to %q", seed, leader, now)
		}
	}
}

func firstLeaderAfter(c *cluster, limit time.Duration) time.Duration {
	for c.now < limit {
		c.turn()
		if c.leader() != "" {
			return c.now
		}
	}
	return limit
}

// turn lets one step of time pass and delivers what was sent in it.
func (c *cluster) turn() {
	c.now += stepTime
	for _, id := range c.order {
		c.step(c.nodes[id], Tick{}, false)
	}
	for range 10_000 {
		if len(c.messages) == 0 {
			return
		}
		c.deliver(0, false, false)
	}
}

func (c *cluster) leader() NodeID {
	for _, n := range c.up() {
		if n.core.Leading() {
			return n.id
		}
	}
	return ""
}

// Three nodes that lost their leader ask for pre-votes in the same moment and hear of each other late.
func TestNodesThatAskTogetherElectOneLeader(t *testing.T) {
	c := newCluster(1, 3)
	for _, n := range c.up() {
		n.core.electAt = c.now
	}
	if delay := firstLeaderAfter(c, 3*time.Second); delay > 3*stepTime {
		t.Errorf("a leader after %v, want %v: the vote was split", delay, 3*stepTime)
	}
}

// The leader is lost right after it gave a new disk its vote (TestStateful, seed 8192564538206079295): the new disk does not
// know yet that it votes, and without it no majority of the four is left.
func TestPromotedDiskVotesBeforeItKnows(t *testing.T) {
	asLearner := Config{Voters: []NodeID{"a", "b", "c"}, Learners: []NodeID{"d"}}
	cases := []struct {
		name   string
		config Config
		kind   MessageKind
		want   bool
	}{
		{"a learner, asked whether it would vote", asLearner, MessagePreVote, true},
		{"a learner, asked for its vote", asLearner, MessageVote, true},
		{"a disk that takes no part, asked whether it would vote", Config{Voters: asLearner.Voters}, MessagePreVote, false},
		{"a disk that takes no part, asked for its vote", Config{Voters: asLearner.Voters}, MessageVote, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			core, err := New("d", Saved{Snapshot: Snapshot{Index: 5, Term: 1, Config: c.config}}, 0, rand.New(rand.NewPCG(1, 1)))
			if err != nil {
				t.Fatal(err)
			}
			out := core.Step(Receive{Message{Kind: c.kind, From: "a", To: "d", Term: 3, LastIndex: 6, LastTerm: 1}}, 0)
			if got := out.Messages[0].Granted; got != c.want {
				t.Errorf("granted: %v, want %v", got, c.want)
			}
		})
	}
}
