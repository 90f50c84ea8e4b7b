// Instances share observations of leafs. Every leaf pauses briefly from time to
// time, and the pause is over before the observation arrives elsewhere, so the
// slowness of a leaf that is observed to be slow is applied only if it has been
// slow for longer than a pause lasts.

package placer

import "time"

const (
	// slowThreshold is the latency from which an answer counts as slow, in typical latencies: the latencies of
	// healthy leafs of one service differ by a smaller factor.
	slowThreshold = 2.0
	// maxPause is the longest pause expected of a healthy leaf; healthy leafs pause for 150 to 250 ms.
	maxPause = 300 * time.Millisecond
	// maxSlowGap is the longest time between two slow answers of one slow period.
	maxSlowGap = 3 * time.Second
	// replacedEjection is how long a leaf is ejected after another instance observed that it was replaced: the list of leafs
	// drops it within that time.
	replacedEjection = 5 * time.Second
	// unhealthyFailureRate is the failure rate from which a leaf counts as unhealthy and is reported to other instances. A
	// single failure exceeds it, since it raises the rate to at least failureRateGain, 0.4.
	unhealthyFailureRate = 0.2
)

// Observation is the state of a leaf as seen by one instance at one time.
type Observation struct {
	// Slowness is the average latency divided by the typical latency.
	Slowness float64
	// FailureRate is the failure rate, 0 to 1.
	FailureRate float64
	// SlowFor is the length of the slow period so far, 0 if the last answer was not slow.
	SlowFor time.Duration
	// IsSlow is set if the last answer was slow.
	IsSlow bool
	// IsReplaced is set if another leaf now uses the address.
	IsReplaced bool
	// SeenAt is the time of the observation.
	SeenAt time.Duration
}

// Observe returns the current observation of the leaf, and whether to share it with the other instances: it is shared while
// the leaf is slow, failing or replaced, and once after its recovery.
func (l *Leaf) Observe(now time.Duration) (Observation, bool) {
	observation := Observation{Slowness: l.slownessAt(now), FailureRate: l.failureRateAt(now), SeenAt: now, IsSlow: l.isSlow, IsReplaced: l.isReplaced}
	if l.isSlow {
		observation.SlowFor = now - l.slowSince
	}
	isUnhealthy := l.isSlow || l.isReplaced || observation.FailureRate >= unhealthyFailureRate
	shouldShare := isUnhealthy || l.isKnownUnhealthy
	l.isKnownUnhealthy = isUnhealthy
	l.observedAt = now
	return observation, shouldShare
}

// Apply applies an observation made by another instance unless a newer one is known, and reports whether the leaf changed
// between healthy and unhealthy.
func (l *Leaf) Apply(observation Observation) bool {
	if observation.SeenAt <= l.observedAt {
		return false
	}
	l.observedAt = observation.SeenAt
	if observation.IsReplaced {
		l.ejectedUntil = max(l.ejectedUntil, observation.SeenAt+replacedEjection)
	}
	isUnhealthy := observation.IsSlow || observation.IsReplaced || observation.FailureRate >= unhealthyFailureRate
	changed := isUnhealthy != l.isKnownUnhealthy
	l.isKnownUnhealthy = isUnhealthy
	l.failureRate, l.failureRateUpdatedAt = observation.FailureRate, observation.SeenAt
	l.isSlow = observation.IsSlow
	if observation.IsSlow {
		l.slowSince, l.lastSlowAt = observation.SeenAt-observation.SlowFor, observation.SeenAt
		if observation.SlowFor < maxPause {
			return changed
		}
	}
	l.slowness, l.slownessUpdatedAt = observation.Slowness, observation.SeenAt
	return changed
}

// trackSlowPeriod starts, extends or ends the slow period after a request with the given ratio of its latency to the typical
// latency.
func (l *Leaf) trackSlowPeriod(ratio float64, now time.Duration) {
	if ratio < slowThreshold {
		l.isSlow = false
		return
	}
	if !l.isSlow || now-l.lastSlowAt > maxSlowGap {
		l.slowSince = now
	}
	l.isSlow = true
	l.lastSlowAt = now
}
