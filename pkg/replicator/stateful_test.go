package replicator

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	stepsPerRun = 12000
	fixedSeed   = 20261204
	runsInCI    = 300
)

// TestStateful runs the core through random failures; SOAK_RUNS makes it longer and SOAK_SEED gives other seeds.
func TestStateful(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(seedFromEnvironment(t, "SOAK_SEED", fixedSeed))
	parameters.MinSuccessfulTests = int(seedFromEnvironment(t, "SOAK_RUNS", runsInCI))
	parameters.Workers = 1
	properties := gopter.NewProperties(parameters)
	properties.Property("invariants hold under loss, repetition, cuts, crashes and replaced disks", prop.ForAll(
		func(seed int64) string { return firstFault(runRandomly(uint64(seed), 3)) },
		gen.Int64(),
	))
	properties.TestingRun(t)
}

func seedFromEnvironment(t *testing.T, name string, otherwise int64) int64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func firstFault(c *cluster) string {
	if len(c.faults) == 0 {
		return ""
	}
	return c.faults[0]
}

func runRandomly(seed uint64, size int) *cluster {
	c := newCluster(seed, size)
	for i := range stepsPerRun {
		c.now += stepTime / 4
		c.thaw(1)
		c.randomStep(i)
		if len(c.faults) > 0 {
			return c
		}
	}
	c.settle()
	c.checkDurable()
	return c
}

func (c *cluster) randomStep(i int) {
	n := c.anyNode()
	switch p := c.random.IntN(10_000); {
	case p < 6000:
		for range 3 {
			c.deliverRandom()
		}
	case p < 8500:
		c.step(n, Tick{}, c.random.IntN(500) == 0)
	case p < 9000:
		c.propose(n, fmt.Sprintf("v%d", i))
	case p < 9500:
		c.confirm(n)
	case p < 9550:
		c.compact(n)
	case p < 9560:
		n.up = false
	case p < 9700:
		if !n.up {
			c.start(n)
		}
	case p < 9720:
		if n.up {
			n.up = false
			c.start(n)
		}
	case p < 9735:
		n.frozen = 100 + c.random.IntN(900)
	case p < 9750:
		other := c.anyNode()
		c.cuts[[2]NodeID{n.id, other.id}] = true
	case p < 9800:
		c.cuts = map[[2]NodeID]bool{}
	case p < 9820:
		c.replaceDisk(i)
	default:
		c.step(n, Tick{}, false)
	}
}

func (c *cluster) deliverRandom() {
	if len(c.messages) == 0 {
		return
	}
	i := 0
	if c.random.IntN(4) == 0 {
		i = c.random.IntN(len(c.messages))
	}
	switch c.random.IntN(20) {
	case 0:
		c.messages = append(c.messages[:i], c.messages[i+1:]...)
	case 1:
		c.deliver(i, true, false)
	default:
		c.deliver(i, false, c.random.IntN(100) == 0)
	}
}

// replaceDisk takes the next step of replacing the disk of one node: add a fresh one, give it its vote, remove the old one.
func (c *cluster) replaceDisk(i int) {
	for _, n := range c.up() {
		if !n.core.Leading() {
			continue
		}
		config := n.core.Status().Config
		switch {
		case len(config.Learners) > 0:
			learner := config.Learners[0]
			c.proposeConfig(n, Config{Voters: append(append([]NodeID(nil), config.Voters...), learner)})
		case len(config.Voters) > 3:
			c.proposeConfig(n, Config{Voters: withoutNode(config.Voters, config.Voters[c.random.IntN(len(config.Voters))])})
		default:
			fresh := NodeID(fmt.Sprintf("n%d/disk%d", c.random.IntN(3)+1, i))
			c.addNode(fresh, Saved{})
			c.proposeConfig(n, Config{Voters: config.Voters, Learners: []NodeID{fresh}})
		}
		return
	}
}

func (c *cluster) proposeConfig(n *testNode, config Config) {
	c.nextTag++
	c.tags[c.nextTag] = "config"
	c.step(n, ProposeConfig{Tag: c.nextTag, Config: config}, false)
}

func withoutNode(ids []NodeID, id NodeID) []NodeID {
	var kept []NodeID
	for _, other := range ids {
		if other != id {
			kept = append(kept, other)
		}
	}
	return kept
}
