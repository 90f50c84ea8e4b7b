package spreader

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestAddAcceptsOnlyNewerObservation(t *testing.T) {
	cases := []struct {
		name   string
		seenAt time.Duration
		want   bool
	}{
		{"newer observation", 2 * time.Second, true},
		{"older observation", 500 * time.Millisecond, false},
		{"duplicate that arrived over another peer", time.Second + duplicateTolerance, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.Add(Observation{Leaf: "a", SeenAt: time.Second})
			if got := s.Add(Observation{Leaf: "a", SeenAt: c.seenAt}); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestNextRoundLimits(t *testing.T) {
	s := New()
	for i, leaf := range []string{"a", "b", "c"} {
		s.Add(Observation{Leaf: leaf, SeenAt: time.Duration(i) * time.Second})
	}
	if next := s.NextRound(3*time.Second, 2); len(next) != 2 || next[0].Leaf != "c" || next[1].Leaf != "b" {
		t.Fatalf("got %+v, want the two latest, c and b", next)
	}
	sent := 2
	for range 10 {
		sent += len(s.NextRound(3*time.Second, 10))
	}
	if sent != 3*forwardRounds {
		t.Errorf("got 3 observations sent %d times in total, want each %d times", sent, forwardRounds)
	}
	s.Add(Observation{Leaf: "d", SeenAt: 4 * time.Second})
	if next := s.NextRound(4*time.Second+retention+1, 10); len(next) != 0 {
		t.Errorf("got an observation older than %v, want none", retention)
	}
}

// Guards against an observation that does not spread through the data centre, or causes too many datagrams, when one datagram
// in ten is lost.
func TestObservationReachesMostInstances(t *testing.T) {
	const peers = 3
	for _, instances := range []int{3, 24, 60} {
		random := rand.New(rand.NewPCG(1, uint64(instances)))
		spreaders := make([]*Spreader, instances)
		for i := range spreaders {
			spreaders[i] = New()
		}
		now := time.Second
		spreaders[0].Add(Observation{Leaf: "a", Slowness: 9, SeenAt: now})
		sent := 0
		for range 6 {
			now += 100 * time.Millisecond
			type datagram struct {
				to           int
				observations []Observation
			}
			var inTransit []datagram
			for i := range spreaders {
				next := spreaders[i].NextRound(now, 40)
				if len(next) == 0 {
					continue
				}
				for range peers {
					sent++
					if random.IntN(10) > 0 {
						inTransit = append(inTransit, datagram{to: random.IntN(instances), observations: next})
					}
				}
			}
			for _, d := range inTransit {
				for _, observation := range d.observations {
					spreaders[d.to].Add(observation)
				}
			}
		}
		informed := 0
		for _, s := range spreaders {
			if len(s.entries) > 0 {
				informed++
			}
		}
		if informed < instances*9/10 {
			t.Errorf("after 600 ms: got %d of %d instances informed, want at least 90%%", informed, instances)
		}
		if sent > instances*peers*forwardRounds {
			t.Errorf("got %d datagrams for one observation among %d instances, want at most 9 per instance", sent, instances)
		}
	}
}
