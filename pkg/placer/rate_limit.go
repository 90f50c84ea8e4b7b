package placer

import (
	"time"

	"lovagedeck/pkg/limiter"
)

// RateLimit returns what is known about the rate limit of the leaf.
func (l *Leaf) RateLimit() limiter.Limit { return l.rateLimit }

// OnRateLimit records the rate that a response to a request sent at sentAt stated, or that it stated none.
func (l *Leaf) OnRateLimit(isLimited bool, perSecond float64, sentAt, now time.Duration) limiter.Change {
	return l.rateLimit.OnResponse(isLimited, perSecond, sentAt, now)
}
