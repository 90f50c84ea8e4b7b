// The concurrency limit is the number of requests that a leaf may run at once.
// It starts at one, grows while answers arrive in time, and is reset to one
// when slow answers or slow requests in flight show that the leaf is cold again.

package admitter

import "time"

const (
	minLimit = 1.0
	// slowFactor is the multiple of the usual latency above which an answer counts as slow.
	slowFactor     = 3
	minSlowLatency = 5 * time.Millisecond
	// slowAnswersToReset is the number of slow answers among the last slowAnswerWindow that resets the limit.
	slowAnswersToReset = 2
	slowAnswerWindow   = 3
	answersPerIncrease = 4
	baselineGain       = 0.05
	gradientSmoothing  = 0.2
	minBackoff         = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	// minBaselineAnswers is the number of answers before the usual latency is known well enough to call one slow.
	minBaselineAnswers = 16
)

type (
	// Growth selects how the concurrency limit grows: AdditiveGrowth or GradientGrowth.
	Growth interface {
		isGrowth()
	}

	// AdditiveGrowth raises the limit by one after several consecutive answers in time.
	AdditiveGrowth struct{}

	// GradientGrowth adjusts the limit by the ratio of the usual latency to that of the last answer.
	GradientGrowth struct{}

	warmUp struct {
		growth        Growth
		limit         float64
		answersInTime int
		answers       int
		baseline      time.Duration
		recentSlow    []bool
		backoff       time.Duration
		backoffUntil  time.Duration
		resetAt       time.Duration
		resetReason   string
	}
)

func (AdditiveGrowth) isGrowth() {}
func (GradientGrowth) isGrowth() {}

func newWarmUp(growth Growth, now time.Duration) *warmUp {
	return &warmUp{growth: growth, limit: minLimit, resetAt: now, resetReason: "new owner"}
}

func (w *warmUp) onAnswer(latency, now time.Duration, slots int) {
	w.backoff = 0
	slow := w.isSlow(latency)
	w.recordSlow(slow)
	if w.countSlow() >= slowAnswersToReset && w.limit > minLimit {
		w.reset(now, "slow answers")
		return
	}
	w.updateBaseline(latency, slow)
	if slow {
		w.answersInTime = 0
		return
	}
	w.answersInTime++
	w.grow(latency, slots)
}

func (w *warmUp) grow(latency time.Duration, slots int) {
	switch w.growth.(type) {
	case GradientGrowth:
		ratio := float64(w.baseline) / float64(max(latency, 1))
		target := w.limit*min(1, max(0.5, ratio)) + 1
		w.limit += gradientSmoothing * (target - w.limit)
	default:
		if w.answersInTime >= answersPerIncrease {
			w.answersInTime = 0
			w.limit++
		}
	}
	w.limit = max(minLimit, min(w.limit, float64(slots)))
}

func (w *warmUp) reset(now time.Duration, reason string) {
	w.limit = minLimit
	w.answersInTime = 0
	w.recentSlow = w.recentSlow[:0]
	w.resetAt = now
	w.resetReason = reason
}

// backOff resets the limit and sends nothing to the leaf for a time that doubles until the leaf answers again.
func (w *warmUp) backOff(now time.Duration, reason string) {
	w.reset(now, reason)
	w.backoff = min(maxBackoff, max(minBackoff, 2*w.backoff))
	w.backoffUntil = now + w.backoff
}

func (w *warmUp) inBackoff(now time.Duration) bool { return now < w.backoffUntil }

func (w *warmUp) isSlow(latency time.Duration) bool {
	if w.answers < minBaselineAnswers {
		return false
	}
	return latency > max(minSlowLatency, slowFactor*w.baseline)
}

func (w *warmUp) updateBaseline(latency time.Duration, slow bool) {
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

func (w *warmUp) recordSlow(slow bool) {
	w.recentSlow = append(w.recentSlow, slow)
	if len(w.recentSlow) > slowAnswerWindow {
		w.recentSlow = w.recentSlow[1:]
	}
}

func (w *warmUp) countSlow() int {
	count := 0
	for _, slow := range w.recentSlow {
		if slow {
			count++
		}
	}
	return count
}
