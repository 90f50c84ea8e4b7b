// An emulated leaf can state a rate limit in its responses and count what it
// gets beyond it. Rates are those of the real clock, also in a bench run.

package emulator

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"
)

const (
	rateLimitWindow    = 4 * time.Second
	rateLimitGrace     = 4 * time.Second
	rateLimitTolerance = 1.5
	rateLimitSlack     = 5
)

// rateLimit is the rate that a leaf states, with the arrivals of the last rateLimitWindow.
type rateLimit struct {
	isStated  bool
	perSecond float64
	statedAt  time.Time
	arrivals  []time.Time
}

// SetRateLimit makes the leaf state that it takes the given number of requests a second.
func (l *Leaf) SetRateLimit(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.rateLimit.isStated {
		l.rateLimit = rateLimit{isStated: true, statedAt: time.Now()}
	}
	l.rateLimit.perSecond = perSecond
}

// ClearRateLimit makes the leaf state no rate limit.
func (l *Leaf) ClearRateLimit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rateLimit = rateLimit{}
}

// recordArrival counts a request and reports whether it exceeds the stated rate; the lock of the leaf must be held.
func (r *rateLimit) recordArrival(now time.Time) (isExceeded bool) {
	if !r.isStated {
		return false
	}
	r.arrivals = append(slices.DeleteFunc(r.arrivals, func(at time.Time) bool { return now.Sub(at) > rateLimitWindow }), now)
	allowed := rateLimitTolerance*r.perSecond*rateLimitWindow.Seconds() + rateLimitSlack
	return now.Sub(r.statedAt) > rateLimitGrace+rateLimitWindow && float64(len(r.arrivals)) > allowed
}

// statement returns the rate limit as it is stated in a response; the lock of the leaf must be held.
func (r *rateLimit) statement() json.RawMessage {
	if !r.isStated {
		return nil
	}
	return json.RawMessage(strconv.FormatFloat(r.perSecond, 'f', -1, 64))
}
