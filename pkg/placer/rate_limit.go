// A leaf may limit the requests that it takes from all instances together.
// Other leafs are preferred while it does, and it gets no request at all until
// this instance can expect a permit again.

package placer

import (
	"time"

	"lovagedeck/pkg/limiter"
)

const (
	// rateLimitedCost is the cost of a leaf that has just stated a rate limit, in typical latencies. Other leafs are preferred
	// unless they are stalled or far beyond their slots.
	rateLimitedCost = 6.0
	// rateLimitedHalfLife is the half-life of rateLimitedCost after the last statement, so that a leaf that no request has gone to
	// is tried again and the end of its limit noticed.
	rateLimitedHalfLife = time.Second
)

// RateLimit returns what is known about the rate limit of the leaf.
func (l *Leaf) RateLimit() limiter.Limit { return l.rateLimit }

// OnRateLimit records the rate that a response to a request sent at sentAt stated, or that it stated none.
func (l *Leaf) OnRateLimit(isLimited bool, perSecond float64, sentAt, now time.Duration) limiter.Change {
	return l.rateLimit.OnResponse(isLimited, perSecond, sentAt, now)
}

// ApplyRateLimit takes over what another instance knows about the rate limit of the leaf, if that is newer.
func (l *Leaf) ApplyRateLimit(limit limiter.Limit) limiter.Change { return l.rateLimit.Apply(limit) }

// OnPermitDenied records that no permit for the leaf is expected before the given time.
func (l *Leaf) OnPermitDenied(until time.Duration) { l.noPermitUntil = until }

// NoPermitUntil returns until when no permit is expected for the leaf, and false if a permit can be requested now.
func (l *Leaf) NoPermitUntil(now time.Duration) (time.Duration, bool) {
	return l.noPermitUntil, l.rateLimit.IsLimited() && now < l.noPermitUntil
}

func (l *Leaf) rateLimitCostAt(now time.Duration) float64 {
	if !l.rateLimit.IsLimited() {
		return 0
	}
	return rateLimitedCost * decay(now-l.rateLimit.SeenAt(), rateLimitedHalfLife)
}
