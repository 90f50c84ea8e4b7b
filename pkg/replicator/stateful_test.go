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
	defaultRuns = 300
)

// TestStateful checks the invariants of the core under random failures. SOAK_RUNS sets the number of runs and SOAK_SEED the seed.
func TestStateful(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(intFromEnvironment(t, "SOAK_SEED", fixedSeed))
	parameters.MinSuccessfulTests = int(intFromEnvironment(t, "SOAK_RUNS", defaultRuns))
	parameters.Workers = 1
	properties := gopter.NewProperties(parameters)
	properties.Property("invariants hold under message loss and duplication, one-way partitions, crashes and disk replacement", prop.ForAll(
		func(seed int64) string { return firstViolation(runRandomly(uint64(seed), 3)) },
		gen.Int64(),
	))
	properties.TestingRun(t)
}

func intFromEnvironment(t *testing.T, name string, fallback int64) int64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func firstViolation(c *cluster) string {
	if len(c.violations) == 0 {
		return ""
	}
	return c.violations[0]
}

func runRandomly(seed uint64, size int) *cluster {
	c := newCluster(seed, size)
	for i := range stepsPerRun {
		c.now += stepTime / 4
		c.resumePaused(1)
		c.randomStep(i)
		if len(c.violations) > 0 {
			return c
		}
	}
	c.settle()
	c.checkDurability()
	return c
}

func (c *cluster) randomStep(i int) {
	n := c.randomNode()
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
		c.requestRead(n)
	case p < 9550:
		c.compact(n)
	case p < 9560:
		n.isRunning = false
	case p < 9700:
		if !n.isRunning {
			c.start(n)
		}
	case p < 9720:
		if n.isRunning {
			n.isRunning = false
			c.start(n)
		}
	case p < 9735:
		n.pausedSteps = 100 + c.random.IntN(900)
	case p < 9750:
		other := c.randomNode()
		c.blockedLinks[[2]NodeID{n.id, other.id}] = true
	case p < 9800:
		c.blockedLinks = map[[2]NodeID]bool{}
	case p < 9820:
		c.advanceDiskReplacement(i)
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

// advanceDiskReplacement proposes the next step of a disk replacement: add a learner with a new disk, promote it, remove a voter.
func (c *cluster) advanceDiskReplacement(i int) {
	for _, n := range c.runningNodes() {
		if !n.core.IsEstablishedLeader() {
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
			newDisk := NodeID(fmt.Sprintf("n%d/disk%d", c.random.IntN(3)+1, i))
			c.addNode(newDisk, PersistentState{})
			c.proposeConfig(n, Config{Voters: config.Voters, Learners: []NodeID{newDisk}})
		}
		return
	}
}

func (c *cluster) proposeConfig(n *testNode, config Config) {
	c.lastTag++
	c.proposedValues[c.lastTag] = "config"
	c.step(n, ProposeConfig{Tag: c.lastTag, Config: config}, false)
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
