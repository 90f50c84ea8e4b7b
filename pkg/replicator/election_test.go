package replicator

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// All nodes start at the same time, as after a power loss. Callers wait until a leader is elected.
func TestLeaderIsElectedAfterSimultaneousStart(t *testing.T) {
	const runs = 300
	var delays []time.Duration
	for seed := range uint64(runs) {
		delays = append(delays, waitForLeader(newCluster(seed, 5), 3*time.Second))
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	if p90 := delays[runs*9/10]; p90 > ElectionTimeout {
		t.Errorf("time to a leader: p90 %v, want at most %v", p90, ElectionTimeout)
	}
	if last := delays[runs-1]; last > 2*ElectionTimeout {
		t.Errorf("time to a leader: maximum %v, want at most %v", last, 2*ElectionTimeout)
	}
}

// After a power loss the nodes start one after the other. The third of five completes a majority, and callers wait until then.
func TestLeaderIsElectedOnceMajorityHasStarted(t *testing.T) {
	const (
		runs          = 200
		startInterval = 150 * time.Millisecond
		limit         = 80 * time.Millisecond
	)
	var delays []time.Duration
	for seed := range uint64(runs) {
		c := newCluster(seed, 5)
		for _, n := range c.runningNodes() {
			n.isRunning = false
		}
		for _, id := range c.nodeOrder[:3] {
			c.start(c.nodes[id])
			if id == c.nodeOrder[2] {
				break
			}
			for until := c.now + startInterval; c.now < until; {
				c.advance()
			}
		}
		majorityStartedAt := c.now
		delays = append(delays, waitForLeader(c, majorityStartedAt+3*time.Second)-majorityStartedAt)
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	if p90 := delays[runs*9/10]; p90 > limit {
		t.Errorf("time from the start of the third node to a leader: p90 %v, want at most %v", p90, limit)
	}
}

// A node that restarts while a leader is active must not replace it.
func TestRestartedNodeDoesNotReplaceLeader(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(seed, 5)
		waitForLeader(c, 3*time.Second)
		leader := c.leader()
		for _, n := range c.runningNodes() {
			if n.id != leader {
				n.isRunning = false
				c.start(n)
				break
			}
		}
		for range 100 {
			c.advance()
		}
		if current := c.leader(); current != leader {
			t.Fatalf("seed %d: leader changed from %s to %q, want no change", seed, leader, current)
		}
	}
}

func waitForLeader(c *cluster, limit time.Duration) time.Duration {
	for c.now < limit {
		c.advance()
		if c.leader() != "" {
			return c.now
		}
	}
	return limit
}

// advance advances the time by one step, ticks all nodes and delivers all messages.
func (c *cluster) advance() {
	c.now += stepTime
	for _, id := range c.nodeOrder {
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
	for _, n := range c.runningNodes() {
		if n.core.IsEstablishedLeader() {
			return n.id
		}
	}
	return ""
}

// Three nodes that lost their leader request pre-votes at the same time, before they receive each other's requests.
func TestConcurrentPreVotesElectLeader(t *testing.T) {
	c := newCluster(1, 3)
	for _, n := range c.runningNodes() {
		n.core.electionAt = c.now
	}
	if delay := waitForLeader(c, 3*time.Second); delay > 3*stepTime {
		t.Errorf("time to a leader: got %v, want at most %v (split vote)", delay, 3*stepTime)
	}
}

// A leader that fails right after it promoted a learner may leave a learner that has not received the config with its promotion.
// Without its vote, no majority of the four voters is left. Found by TestStateful with seed 8192564538206079295.
func TestPromotedLearnerVotesBeforeReceivingConfig(t *testing.T) {
	asLearner := Config{Voters: []NodeID{"a", "b", "c"}, Learners: []NodeID{"d"}}
	cases := []struct {
		name   string
		config Config
		kind   MessageKind
		want   bool
	}{
		{"pre-vote request to a learner", asLearner, MessagePreVote, true},
		{"vote request to a learner", asLearner, MessageVote, true},
		{"pre-vote request to a non-member", Config{Voters: asLearner.Voters}, MessagePreVote, false},
		{"vote request to a non-member", Config{Voters: asLearner.Voters}, MessageVote, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			core, err := New("d", PersistentState{Snapshot: Snapshot{Index: 5, Term: 1, Config: c.config}}, 0, rand.New(rand.NewPCG(1, 1)))
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
