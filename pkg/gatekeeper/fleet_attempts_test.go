package gatekeeper

import (
	"math/rand/v2"
	"testing"
	"time"

	"lovagedeck/pkg/hedger"
)

// When some leafs turn slow, hedges must not be delayed, and must still be sent early enough to help.
func TestHedgeDelayWithSlowLeafs(t *testing.T) {
	const typical, due = 28 * time.Millisecond, 187 * time.Millisecond
	cases := []struct {
		name      string
		slowShare float64
	}{
		{"all healthy", 0},
		{"a sixth slow", 1.0 / 6},
		{"a third slow", 1.0 / 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			stats := &latencyStats{typical: typical, tail: hedger.NewQuantileAt(hedgeQuantile, 2*typical)}
			for range 3000 {
				took := time.Duration((0.7 + 0.6*random.Float64()) * float64(typical))
				if random.Float64() < c.slowShare {
					took *= 9
				}
				stats.record(took)
			}
			if stats.typical < typical*8/10 || stats.typical > typical*15/10 {
				t.Errorf("got typical latency %v, want about %v", stats.typical, typical)
			}
			if delay := stats.hedgeDelay(due); delay < typical || delay > due-3*typical {
				t.Errorf("got hedge delay %v, want %v to %v", delay, typical, due-3*typical)
			}
		})
	}
}
