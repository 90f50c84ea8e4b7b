package watcher

import (
	"testing"
	"time"
)

func TestWhatWaitedDuringAPauseIsStale(t *testing.T) {
	const second = time.Second
	cases := []struct {
		name string
		// steady and wall are how far the clocks went on since the last tick when the process goes on.
		steady, wall time.Duration
		want         bool
	}{
		{"no pause", 60 * time.Millisecond, 60 * time.Millisecond, false},
		{"a busy processor", 200 * time.Millisecond, 200 * time.Millisecond, false},
		{"a stopped process", 4 * second, 4 * second, true},
		{"a suspended machine", 60 * time.Millisecond, 4 * second, true},
		{"a time of day set back", 60 * time.Millisecond, -4 * second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			w := New(10*second, began)
			now, wall := 10*second+c.steady, began.Add(c.wall)
			if got := w.Stale(now, wall); got != c.want {
				t.Errorf("read before the tick: stale %v, want %v", got, c.want)
			}
			if paused := w.OnTick(now, wall) > 0; paused != c.want {
				t.Errorf("paused %v, want %v", paused, c.want)
			}
			if got := w.Stale(now+drainTime/2, wall.Add(drainTime/2)); got != c.want {
				t.Errorf("read just after the tick: stale %v, want %v", got, c.want)
			}
			w.OnTick(now+Interval, wall.Add(Interval))
			if w.Stale(now+2*drainTime, wall.Add(2*drainTime)) {
				t.Error("read later: stale")
			}
		})
	}
}
