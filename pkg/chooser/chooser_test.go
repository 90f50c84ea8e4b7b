package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lovagedeck/pkg/assigner"
)

func threeReplicas() []Candidate { return []Candidate{{"a", 100}, {"b", 100}, {"c", 100}} }

// countChoices returns how often each leaf is chosen in 1000 choices.
func countChoices(c *Chooser, candidates []Candidate, now time.Duration) map[assigner.LeafID]int {
	counts := map[assigner.LeafID]int{}
	for range 1000 {
		counts[candidates[c.Choose(candidates, now)].Leaf]++
	}
	return counts
}

func TestChooseAvoidsWorseReplica(t *testing.T) {
	now := time.Second
	tests := []struct {
		name      string
		setUp     func(c *Chooser)
		maxChosen int
	}{
		{"long queue", func(c *Chooser) { c.OnReport("a", Report{Limit: 2, Queued: 20, Latency: 5 * time.Millisecond}, now) }, 0},
		{"in backoff", func(c *Chooser) {
			c.OnReport("a", Report{Limit: 1, InBackoff: true}, now-reportLifetime/2)
			c.OnAnswer("b", 90*time.Millisecond, now)
			c.OnAnswer("c", 90*time.Millisecond, now)
		}, 0},
		{"slow answers", func(c *Chooser) { c.OnAnswer("a", 80*time.Millisecond, now) }, 0},
		{"cancelled after a long wait", func(c *Chooser) {
			for range 10 {
				c.OnCancelled("a", 80*time.Millisecond, now)
			}
		}, 0},
		{"unavailable", func(c *Chooser) { c.OnUnavailable("a", now) }, 0},
		{"consecutive errors", func(c *Chooser) {
			for range errorsToEject {
				c.OnError("a", now)
			}
		}, 0},
		{"no difference", func(*Chooser) {}, 450},
	}
	for _, test := range tests {
		c := New(rand.New(rand.NewPCG(1, 1)))
		test.setUp(c)
		if got := countChoices(c, threeReplicas(), now)["a"]; got > test.maxChosen {
			t.Errorf("%s: leaf a chosen %d of 1000 times, want at most %d", test.name, got, test.maxChosen)
		}
	}
}

func TestRandomFollowsWeights(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)), WithPolicy(Random{}))
	counts := countChoices(c, []Candidate{{"a", 300}, {"b", 100}}, 0)
	if counts["a"] < 700 || counts["a"] > 800 {
		t.Fatalf("leaf with weight 300 of 400 chosen %d of 1000 times, want 700 to 800", counts["a"])
	}
}

func TestLatencyEstimateDecays(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)))
	c.OnAnswer("a", 80*time.Millisecond, 0)
	if got := countChoices(c, threeReplicas(), 20*latencyHalfLife)["a"]; got == 0 {
		t.Fatal("a leaf that was slow 20 half-lives ago was chosen 0 of 1000 times, want at least 1")
	}
}

func TestMajorityWithErrorsIsNotEjected(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)))
	for _, leaf := range []assigner.LeafID{"a", "b"} {
		for range errorsToEject {
			c.OnError(leaf, 0)
		}
	}
	if counts := countChoices(c, threeReplicas(), 1); counts["a"] == 0 || counts["b"] == 0 {
		t.Fatalf("two of three leafs with errors: choices %v, want leafs a and b chosen as well", counts)
	}
}

func TestChooseWithoutEligibleCandidates(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)))
	if got := c.Choose(nil, 0); got != -1 {
		t.Fatalf("got candidate %d of an empty list, want -1", got)
	}
	for _, candidate := range threeReplicas() {
		c.OnUnavailable(candidate.Leaf, 0)
	}
	if got := c.Choose(threeReplicas(), 1); got < 0 {
		t.Fatalf("got %d with all leafs unavailable, want one of them", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, replicas := range []int{3, 7, 21} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			c := New(rand.New(rand.NewPCG(1, 1)))
			var candidates []Candidate
			for i := range replicas {
				candidates = append(candidates, Candidate{Leaf: assigner.LeafID(fmt.Sprint(i)), Weight: 100})
			}
			for b.Loop() {
				c.Choose(candidates, time.Second)
			}
		})
	}
}

func TestChooseWithEjectedAndUnavailableLeafs(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)))
	for range errorsToEject {
		c.OnError("a", 0)
	}
	c.OnUnavailable("b", 0)
	c.OnUnavailable("c", 0)
	if c.Choose(threeReplicas(), 1) < 0 {
		t.Fatal("got no candidate with one leaf ejected and two unavailable, want one of them")
	}
}

// A rate-limited leaf would refuse most of its usual requests, each of which costs a retry.
func TestRateLimitedReplicaIsNotChosen(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)))
	c.OnReport("limited", Report{Limit: 6, Latency: 5 * time.Millisecond, IsRateLimited: true}, time.Second)
	c.OnReport("busy", Report{Limit: 6, Running: 9, Latency: 5 * time.Millisecond}, time.Second)
	candidates := []Candidate{{Leaf: "limited", Weight: 1}, {Leaf: "busy", Weight: 1}}
	for range 50 {
		if got := c.Choose(candidates, time.Second); got != 1 {
			t.Fatalf("got candidate %d, want the busy one", got)
		}
	}
	if c.AllowsHedge("limited", time.Second) {
		t.Error("a hedge to the rate-limited leaf is allowed, want it not allowed")
	}
}
