package limiter

import (
	"math"
	"time"
)

const (
	// Unchanged means that the limit is the same as before.
	Unchanged Change = iota
	// Started means that the leaf has begun to state a rate.
	Started
	// Adjusted means that the leaf states another rate than before.
	Adjusted
	// Ended means that the leaf states no rate any more.
	Ended
)

// adjustedShare is the relative difference from which another rate counts as adjusted.
const adjustedShare = 0.1

type (
	// Change is how a limit differs from the one known before.
	Change int

	// Limit is what one instance knows about the rate limit of a leaf: the newest statement of the leaf, and when an instance
	// received it.
	Limit struct {
		isLimited bool
		perSecond float64
		seenAt    time.Duration
	}
)

// NewLimit returns the limit of a leaf that stated a rate, or none, in a response received at seenAt. The rate is in requests a
// second and must not be negative.
func NewLimit(isLimited bool, perSecond float64, seenAt time.Duration) Limit {
	return Limit{isLimited: isLimited, perSecond: perSecond, seenAt: seenAt}
}

// IsValidRate reports whether a rate from another instance, in requests a second, can be used.
func IsValidRate(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 1) }

// IsLimited reports whether the leaf limits its requests.
func (l Limit) IsLimited() bool { return l.isLimited }

// PerSecond returns the stated rate in requests a second.
func (l Limit) PerSecond() float64 { return l.perSecond }

// SeenAt returns when the newest statement was received.
func (l Limit) SeenAt() time.Duration { return l.seenAt }

// OnResponse records a response to a request sent at sentAt. A response without a rate ends the limit only if its request was
// sent after the last statement, since responses on other connections may overtake it.
func (l *Limit) OnResponse(isLimited bool, perSecond float64, sentAt, now time.Duration) Change {
	if !isLimited && (!l.isLimited || sentAt <= l.seenAt) {
		return Unchanged
	}
	return l.Apply(Limit{isLimited: isLimited, perSecond: perSecond, seenAt: now})
}

// Apply takes over the limit known to another instance if it is newer.
func (l *Limit) Apply(other Limit) Change {
	if other.seenAt <= l.seenAt {
		return Unchanged
	}
	previous := *l
	*l = other
	switch {
	case previous.isLimited && !other.isLimited:
		return Ended
	case !previous.isLimited && other.isLimited:
		return Started
	case other.isLimited && math.Abs(other.perSecond-previous.perSecond) > adjustedShare*previous.perSecond:
		return Adjusted
	}
	return Unchanged
}

// String returns the change as text for logs.
func (c Change) String() string {
	switch c {
	case Unchanged:
		return "unchanged"
	case Started:
		return "started"
	case Adjusted:
		return "adjusted"
	case Ended:
		return "ended"
	}
	return "unknown"
}
