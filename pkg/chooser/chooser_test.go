package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lovagedeck/pkg/assigner"
)

func three() []Candidate { return []Candidate{{"a", 100}, {"b", 100}, {"c", 100}} }

func shares(c *Chooser, candidates []Candidate, now time.Duration) map[assigner.LeafID]int {
	counts := map[assigner.LeafID]int{}
	for range 1000 {
		counts[candidates[c.Choose(candidates, now)].Leaf]++
	}
	return counts
}

func TestChoice(t *testing.T) {
	now := time.Second
	tests := []struct {
		name    string
		set     func(c *Chooser)
		highest int
	}{
		{"long queue", func(c *Chooser) { c.OnReport("a", Report{Limit: 2, Queued: 20, Latency: 5 * time.Millisecond}, now) }, 0},
		{"left to rest", func(c *Chooser) {
			c.OnReport("a", Report{Limit: 1, Resting: true}, now-reportLifetime/2)
			c.OnAnswer("b", 90*time.Millisecond, now)
			c.OnAnswer("c", 90*time.Millisecond, now)
		}, 0},
		{"slow answers", func(c *Chooser) { c.OnAnswer("a", 80*time.Millisecond, now) }, 0},
		{"given up late", func(c *Chooser) {
			for range 10 {
				c.OnLate("a", 80*time.Millisecond, now)
			}
		}, 0},
		{"cannot be sent to", func(c *Chooser) { c.OnUnavailable("a", now) }, 0},
		{"errors in a row", func(c *Chooser) {
			for range ejectAfterFaults {
				c.OnFault("a", now)
			}
		}, 0},
		{"like the others", func(*Chooser) {}, 450},
	}
	for _, test := range tests {
		c := New(rand.New(rand.NewPCG(1, 1)))
		test.set(c)
		if got := shares(c, three(), now)["a"]; got > test.highest {
			t.Errorf("%s: chosen %d of 1000 times, want at most %d", test.name, got, test.highest)
		}
	}
}

func TestWeights(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)), WithPolicy(Random{}))
	counts := shares(c, []Candidate{{"a", 300}, {"b", 100}}, 0)
	if counts["a"] < 700 || counts["a"] > 800 {
		t.Fatalf("chosen %d of 1000 times at weight 300 of 400", counts["a"])
	}
}

func TestSlownessFades(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)))
	c.OnAnswer("a", 80*time.Millisecond, 0)
	if got := shares(c, three(), 20*latencyHalfLife)["a"]; got == 0 {
		t.Fatal("a leaf that was slow long ago is never tried again")
	}
}

func TestSickMajorityIsNotEjected(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)))
	for _, leaf := range []assigner.LeafID{"a", "b"} {
		for range ejectAfterFaults {
			c.OnFault(leaf, 0)
		}
	}
	if counts := shares(c, three(), 1); counts["a"] == 0 || counts["b"] == 0 {
		t.Fatalf("two of three were ejected: %v", counts)
	}
}

func TestNobodyLeft(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)))
	if got := c.Choose(nil, 0); got != -1 {
		t.Fatalf("chose %d of nothing", got)
	}
	for _, candidate := range three() {
		c.OnUnavailable(candidate.Leaf, 0)
	}
	if got := c.Choose(three(), 1); got < 0 {
		t.Fatal("nothing chosen although all are alike")
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

func TestSomebodyIsAlwaysChosen(t *testing.T) {
	c := New(rand.New(rand.NewPCG(1, 1)))
	for range ejectAfterFaults {
		c.OnFault("a", 0)
	}
	c.OnUnavailable("b", 0)
	c.OnUnavailable("c", 0)
	if c.Choose(three(), 1) < 0 {
		t.Fatal("one leaf is ejected, the others cannot be sent to, and nobody is asked")
	}
}
