// A leaf may limit the requests that it takes from all instances together.
// Other leafs are preferred while it does, and it gets no request at all until
// this instance can expect a permit again. A leaf may also ask this instance for
// rest, in which it gets no request, or state that it is leaving.

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

// UnavailableUntil returns until when the leaf takes no request of this instance, because it rests or no permit is expected for it,
// and false if it takes one now.
func (l *Leaf) UnavailableUntil(now time.Duration) (time.Duration, bool) {
	until := l.restUntil
	if l.rateLimit.IsLimited() {
		until = max(until, l.noPermitUntil)
	}
	return until, now < until
}

// OnRestRequested records that the leaf wants no requests of this instance before the given time. It never shortens the rest.
func (l *Leaf) OnRestRequested(until time.Duration) { l.restUntil = max(l.restUntil, until) }

// IsResting reports whether the leaf has asked this instance for rest.
func (l *Leaf) IsResting(now time.Duration) bool { return now < l.restUntil }

// OnLeavingStated records whether a response to a request sent at sentAt stated that the leaf is leaving, and reports whether that
// changed. A response without the statement ends it only if its request was sent afterwards.
func (l *Leaf) OnLeavingStated(isLeaving bool, sentAt, now time.Duration) bool {
	if isLeaving {
		l.leavingStatedAt = now
	}
	if isLeaving == l.statesLeaving || !isLeaving && sentAt <= l.drainingSince {
		return false
	}
	if isLeaving && !l.fields.Load().IsDraining {
		l.drainingSince = now
	}
	l.statesLeaving = isLeaving
	return true
}

// IsDraining reports whether the leaf is leaving according to the list of leafs or to its own responses.
func (l *Leaf) IsDraining() bool { return l.fields.Load().IsDraining || l.statesLeaving }

func (l *Leaf) rateLimitCostAt(now time.Duration) float64 {
	if !l.rateLimit.IsLimited() {
		return 0
	}
	return rateLimitedCost * decay(now-l.rateLimit.SeenAt(), rateLimitedHalfLife)
}
