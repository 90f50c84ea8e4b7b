// The delay before a hedge is a quantile of the latency observed for the service.
// It is estimated by stochastic approximation, which needs one number per
// quantile and no window of samples.

package hedger

import "time"

const (
	initialDelay = 20 * time.Millisecond
	minDelay     = time.Millisecond
	maxDelay     = 2 * time.Second
	stepFactor   = 0.02
)

// Quantile estimates a quantile of a stream of latencies.
type Quantile struct {
	target    float64
	value     time.Duration
	hasSample bool
}

// NewQuantile returns an estimator of the given quantile, 0 to 1, that starts from twice the first latency it is given.
func NewQuantile(target float64) *Quantile {
	return &Quantile{target: target, value: initialDelay}
}

// NewQuantileAt returns an estimator of the given quantile, 0 to 1, that starts from the given value.
func NewQuantileAt(target float64, value time.Duration) *Quantile {
	return &Quantile{target: target, value: value, hasSample: true}
}

// Add updates the estimate with one latency.
func (q *Quantile) Add(latency time.Duration) {
	if !q.hasSample {
		q.hasSample = true
		q.value = 2 * latency
	}
	step := stepFactor * float64(q.value)
	if latency > q.value {
		q.value += time.Duration(step * q.target)
	} else {
		q.value -= time.Duration(step * (1 - q.target))
	}
	q.value = max(minDelay, min(q.value, maxDelay))
}

// Value returns the current estimate; before the first latency it is the initial value.
func (q *Quantile) Value() time.Duration { return q.value }
