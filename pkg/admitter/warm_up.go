// The warm-up limit is how many requests a leaf may run at once. It opens
// from one as answers arrive in time and closes to one when answers or
// running requests show that the leaf is cold again.

package admitter

import "time"

const (
	lowestLimit        = 1.0
	slowFactor         = 3
	slowMinimum        = 5 * time.Millisecond
	slowVotesToClose   = 2
	slowVoteWindow     = 3
	answersPerStep     = 4
	baselineGain       = 0.05
	gradientSmoothing  = 0.2
	restFirst          = 50 * time.Millisecond
	restLongest        = 2 * time.Second
	steadyAnswersFloor = 16
)

type (
	// Growth says how the limit opens; it is AdditiveGrowth or GradientGrowth.
	Growth interface {
		isGrowth()
	}

	// AdditiveGrowth adds one after a run of answers in time, and closes to one on evidence of a cold leaf.
	AdditiveGrowth struct{}

	// GradientGrowth moves the limit by the ratio of usual to present latency.
	GradientGrowth struct{}

	warmUp struct {
		growth    Growth
		limit     float64
		inTime    int
		answers   int
		baseline  time.Duration
		votes     []bool
		rest      time.Duration
		restUntil time.Duration
		closedAt  time.Duration
		reason    string
	}
)

func (AdditiveGrowth) isGrowth() {}
func (GradientGrowth) isGrowth() {}

func newWarmUp(growth Growth, now time.Duration) *warmUp {
	return &warmUp{growth: growth, limit: lowestLimit, closedAt: now, reason: "new owner"}
}

func (w *warmUp) onAnswer(latency, now time.Duration, slots int) {
	w.rest = 0
	slow := w.isSlow(latency)
	w.vote(slow)
	if w.slowVotes() >= slowVotesToClose && w.limit > lowestLimit {
		w.close(now, "slow answers")
		return
	}
	w.learn(latency, slow)
	if slow {
		w.inTime = 0
		return
	}
	w.inTime++
	w.grow(latency, slots)
}

func (w *warmUp) grow(latency time.Duration, slots int) {
	switch w.growth.(type) {
	case GradientGrowth:
		ratio := float64(w.baseline) / float64(max(latency, 1))
		target := w.limit*min(1, max(0.5, ratio)) + 1
		w.limit += gradientSmoothing * (target - w.limit)
	default:
		if w.inTime >= answersPerStep {
			w.inTime = 0
			w.limit++
		}
	}
	w.limit = max(lowestLimit, min(w.limit, float64(slots)))
}

func (w *warmUp) close(now time.Duration, reason string) {
	w.limit = lowestLimit
	w.inTime = 0
	w.votes = w.votes[:0]
	w.closedAt = now
	w.reason = reason
}

// fall closes the limit and leaves the leaf alone for a while that doubles with each fall.
func (w *warmUp) fall(now time.Duration, reason string) {
	w.close(now, reason)
	w.rest = min(restLongest, max(restFirst, 2*w.rest))
	w.restUntil = now + w.rest
}

func (w *warmUp) resting(now time.Duration) bool { return now < w.restUntil }

func (w *warmUp) isSlow(latency time.Duration) bool {
	if w.answers < steadyAnswersFloor {
		return false
	}
	return latency > max(slowMinimum, slowFactor*w.baseline)
}

func (w *warmUp) learn(latency time.Duration, slow bool) {
	w.answers++
	if w.baseline == 0 {
		w.baseline = latency
		return
	}
	gain := baselineGain
	if slow {
		gain /= 5
	}
	w.baseline += time.Duration(gain * float64(latency-w.baseline))
}

func (w *warmUp) vote(slow bool) {
	w.votes = append(w.votes, slow)
	if len(w.votes) > slowVoteWindow {
		w.votes = w.votes[1:]
	}
}

func (w *warmUp) slowVotes() int {
	count := 0
	for _, slow := range w.votes {
		if slow {
			count++
		}
	}
	return count
}
