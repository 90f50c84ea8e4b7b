// A ticker that should come every 100 ms comes seconds late when the process was
// stopped, or its machine suspended. What is read then, and just after, may have
// waited in a socket all the time:
//
//	tick  12.00 s
//	(stopped)
//	read  16.40 s   4.4 s after the last tick: stale
//	tick  16.41 s   late: all until 16.51 s is stale
//	read  16.60 s   new

package watcher

import (
	"sync"
	"time"
)

const (
	// Interval is the time between ticks.
	Interval = 100 * time.Millisecond
	// pauseLimit is how late a tick is after a pause: a busy processor delays one by a tenth of a second or two.
	pauseLimit = 400 * time.Millisecond
	// drainTime is how long what waited is read after a pause.
	drainTime = 100 * time.Millisecond
)

// Watcher follows the ticks of one process; it is safe for use by several goroutines.
type Watcher struct {
	mu       sync.Mutex
	tick     time.Duration
	wall     time.Time
	staleEnd time.Duration
}

// New returns a watcher whose first tick is now; wall is the time of day.
func New(now time.Duration, wall time.Time) *Watcher { return &Watcher{tick: now, wall: wall} }

// OnTick takes a tick, and returns for how long the process was paused before it; 0 is not at all. The steady clock stands
// still while a machine is suspended, the time of day does not.
func (w *Watcher) OnTick(now time.Duration, wall time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	gap := max(now-w.tick, wall.Sub(w.wall))
	w.tick, w.wall = now, wall
	if gap < pauseLimit {
		return 0
	}
	w.staleEnd = now + drainTime
	return gap
}

// Stale tells whether what is read now may have waited while the process was paused.
func (w *Watcher) Stale(now time.Duration, wall time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now < w.staleEnd || now-w.tick >= pauseLimit || wall.Sub(w.wall) >= pauseLimit
}
