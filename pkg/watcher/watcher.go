package watcher

import (
	"sync"
	"time"
)

const (
	// Interval is the time between calls of OnTick.
	Interval = 100 * time.Millisecond
	// pauseThreshold is the shortest time since the last tick that counts as a pause. A busy processor delays a tick by 100 to
	// 200 ms.
	pauseThreshold = 400 * time.Millisecond
	// drainWindow is the time after a pause in which buffered messages are still being read.
	drainWindow = 100 * time.Millisecond
)

// Watcher detects pauses of the process from late ticks. It is safe for concurrent use.
type Watcher struct {
	mu         sync.Mutex
	lastTick   time.Duration
	lastWall   time.Time
	staleUntil time.Duration
}

// New returns a watcher whose first tick is at the given times of the monotonic clock and the wall clock.
func New(now time.Duration, wall time.Time) *Watcher { return &Watcher{lastTick: now, lastWall: wall} }

// OnTick records a tick and returns how long the process was paused before it, or 0 if it was not. It compares both clocks,
// because the monotonic clock stops while the machine is suspended and the wall clock does not.
func (w *Watcher) OnTick(now time.Duration, wall time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	gap := max(now-w.lastTick, wall.Sub(w.lastWall))
	w.lastTick, w.lastWall = now, wall
	if gap < pauseThreshold {
		return 0
	}
	w.staleUntil = now + drainWindow
	return gap
}

// IsStale reports whether a message that is read now may have been buffered while the process was paused.
func (w *Watcher) IsStale(now time.Duration, wall time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now < w.staleUntil || now-w.lastTick >= pauseThreshold || wall.Sub(w.lastWall) >= pauseThreshold
}
