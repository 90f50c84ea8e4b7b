// An observation is what an instance tells the others of a leaf. Every leaf stops
// for a moment now and then, which is over before the others hear of it; only
// slowness that outlasts such a pause is believed.

package placer

import "time"

const (
	// slowRatio is how many usual times an answer takes that counts as slow: leafs of one service differ by less.
	slowRatio = 2.0
	// longestPause is how long a sound leaf may stop: 150 to 250 ms today.
	longestPause = 300 * time.Millisecond
	// slowMemory is how far apart two slow answers may be and still count as one spell.
	slowMemory = 3 * time.Second
	// goneFor is how long a leaf is left alone whose address another one has, by another instance's word: the list drops it
	// within that time.
	goneFor = 5 * time.Second
	// faultNews is the share of faults that is worth telling; one fault makes 0.3.
	faultNews = 0.2
)

// Observation is what was seen of a leaf at one time.
type Observation struct {
	Slowness float64
	Faults   float64
	// SlowFor is how long the leaf had been slow without a break, 0 where it was not.
	SlowFor time.Duration
	// IsSlow tells that the last answer was slow.
	IsSlow bool
	// IsGone tells that another leaf has the address.
	IsGone bool
	SeenAt time.Duration
}

// News returns what the others should know after a request ended: that the leaf is slow or fails, or no longer does.
func (l *Leaf) News(now time.Duration) (Observation, bool) {
	observation := Observation{Slowness: l.slownessAt(now), Faults: l.faultsNow(now), SeenAt: now, IsSlow: l.slow, IsGone: l.gone}
	if l.slow {
		observation.SlowFor = now - l.slowSince
	}
	bad := l.slow || l.gone || observation.Faults >= faultNews
	news := bad || l.toldBad
	l.toldBad = bad
	l.seenAt = now
	return observation, news
}

// Take believes what another instance saw, where it is later than what this one knows, and tells whether the leaf turned
// bad or sound by that.
func (l *Leaf) Take(observation Observation) bool {
	if observation.SeenAt <= l.seenAt {
		return false
	}
	l.seenAt = observation.SeenAt
	if observation.IsGone {
		l.awayUntil = max(l.awayUntil, observation.SeenAt+goneFor)
	}
	bad := observation.IsSlow || observation.IsGone || observation.Faults >= faultNews
	turned := bad != l.toldBad
	l.toldBad = bad
	l.faults, l.faultsAt = observation.Faults, observation.SeenAt
	l.slow = observation.IsSlow
	if observation.IsSlow {
		l.slowSince, l.slowSeenAt = observation.SeenAt-observation.SlowFor, observation.SeenAt
		if observation.SlowFor < longestPause {
			return turned
		}
	}
	l.slowness, l.slowAt = observation.Slowness, observation.SeenAt
	return turned
}

// noteSlow follows spells of slow answers.
func (l *Leaf) noteSlow(ratio float64, now time.Duration) {
	if ratio < slowRatio {
		l.slow = false
		return
	}
	if !l.slow || now-l.slowSeenAt > slowMemory {
		l.slowSince = now
	}
	l.slow = true
	l.slowSeenAt = now
}
