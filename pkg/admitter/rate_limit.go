// A leaf that is overloaded states how many requests a second it takes. Queued
// requests then wait for the slots of that rate.

package admitter

import (
	"time"

	"lovagedeck/pkg/limiter"
)

// rateLimit is the rate that the leaf states, and the pacer of its requests.
type rateLimit struct {
	limit limiter.Limit
	pacer *limiter.Pacer
}

// OnRateLimit records the rate, in requests a second, that a response to a request sent at sentAt stated, or that it stated
// none.
func (a *Admitter) OnRateLimit(isLimited bool, perSecond float64, sentAt, now time.Duration) limiter.Change {
	change := a.rateLimit.limit.OnResponse(isLimited, perSecond, sentAt, now)
	rate := max(limiter.MinPerSecond, a.rateLimit.limit.PerSecond())
	switch {
	case change == limiter.Ended:
		a.rateLimit.pacer = nil
	case change == limiter.Started:
		a.rateLimit.pacer = limiter.NewPacer(rate, now)
	case a.rateLimit.pacer != nil:
		a.rateLimit.pacer.SetRate(rate)
	}
	return change
}

// TakeSlot reports whether the rate limit of the leaf leaves room for a request now, and uses it.
func (a *Admitter) TakeSlot(now time.Duration) bool {
	if a.rateLimit.pacer == nil {
		return true
	}
	_, ok := a.rateLimit.pacer.Reserve(0, now)
	return ok
}

// waitForSlots returns the time until the rate limit leaves room for the given number of requests.
func (a *Admitter) waitForSlots(requests int, now time.Duration) time.Duration {
	if a.rateLimit.pacer == nil {
		return 0
	}
	return a.rateLimit.pacer.WaitFor(requests, now)
}
