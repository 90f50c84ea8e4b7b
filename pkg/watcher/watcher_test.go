package watcher

import (
	"testing"
	"time"
)

func TestReadAfterPauseIsStale(t *testing.T) {
	const second = time.Second
	cases := []struct {
		name string
		// monotonic and wall are the times since the last tick on each clock when the process resumes.
		monotonic, wall time.Duration
		want            bool
	}{
		{"no pause", 60 * time.Millisecond, 60 * time.Millisecond, false},
		{"busy processor", 200 * time.Millisecond, 200 * time.Millisecond, false},
		{"stopped process", 4 * second, 4 * second, true},
		{"suspended machine", 60 * time.Millisecond, 4 * second, true},
		{"wall clock set back", 60 * time.Millisecond, -4 * second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			w := New(10*second, start)
			now, wall := 10*second+c.monotonic, start.Add(c.wall)
			if got := w.IsStale(now, wall); got != c.want {
				t.Errorf("read before the tick: got stale %v, want %v", got, c.want)
			}
			if paused := w.OnTick(now, wall) > 0; paused != c.want {
				t.Errorf("tick: got paused %v, want %v", paused, c.want)
			}
			if got := w.IsStale(now+drainWindow/2, wall.Add(drainWindow/2)); got != c.want {
				t.Errorf("read just after the tick: got stale %v, want %v", got, c.want)
			}
			w.OnTick(now+Interval, wall.Add(Interval))
			if w.IsStale(now+2*drainWindow, wall.Add(2*drainWindow)) {
				t.Error("read after the drain window: got stale true, want false")
			}
		})
	}
}
