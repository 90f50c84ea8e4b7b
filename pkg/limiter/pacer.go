package limiter

import "time"

// burstWindow is how far back unused slots may be taken. Requests of several instances arrive in bursts.
const burstWindow = 100 * time.Millisecond

// Pacer assigns the slots of a request rate. Each slot is one request, and unused slots are lost after burstWindow.
type Pacer struct {
	interval time.Duration
	lastSlot time.Duration
}

// NewPacer returns a pacer whose first slot comes one interval after now: a former allocator may just have used one.
func NewPacer(perSecond float64, now time.Duration) *Pacer {
	p := &Pacer{lastSlot: now}
	p.SetRate(perSecond)
	return p
}

// SetRate sets the rate, in requests a second, for all slots after the last one assigned.
func (p *Pacer) SetRate(perSecond float64) {
	interval := float64(time.Second) / perSecond
	p.interval = time.Duration(max(1, min(interval, float64(maxInterval))))
}

// maxInterval bounds the time between two slots.
const maxInterval = 24 * time.Hour

// Reserve assigns the next slot and returns the time until it, or returns false if that time exceeds maxWait.
func (p *Pacer) Reserve(maxWait, now time.Duration) (wait time.Duration, ok bool) {
	slot := max(p.lastSlot+p.interval, now-burstWindow)
	wait = max(0, slot-now)
	if wait > maxWait {
		return wait, false
	}
	p.lastSlot = slot
	return wait, true
}

// WaitFor returns the time until the given number of slots have passed, without assigning any.
func (p *Pacer) WaitFor(slots int, now time.Duration) time.Duration {
	first := max(p.lastSlot+p.interval, now-burstWindow)
	return max(0, first+time.Duration(slots-1)*p.interval-now)
}
