// All instances together may send hedges and retries to a service up to a fraction
// of its requests in any window plus a fixed number, the slack. Each instance
// counts its own requests in the last window and has a share of the slack. With a
// ratio of 0.2 and a slack of 214 in 10 s, one of 87 instances with an equal share
// and 5 requests in the window has a limit of
//
//	0.85 * (214/87 + 0.2*5) = 2.9 hedges and retries
//
// The fractional limit is rounded up at some instances and down at others.

package hedger

import "time"

const (
	// safetyFactor leaves room for two effects: hedges and retries may arrive in a later window than they were sent in, and an
	// instance may use up a large share before its load, and with it the share, goes down.
	safetyFactor = 0.85
	// initialSlackFactor reduces the slack of a new instance in its first window: after a restart of all instances, hedges and
	// retries of the previous processes count in the same window.
	initialSlackFactor = 0.5
	// bucketsPerWindow is the number of buckets into which a window is divided.
	bucketsPerWindow = 10
)

type (
	// RetryLimit limits the hedges and retries that a service gets from all instances together in any window.
	RetryLimit struct {
		// Ratio is the permitted fraction of the requests to the service.
		Ratio float64
		// Slack is the fixed number of hedges and retries permitted in addition.
		Slack  float64
		Window time.Duration
	}

	// WindowBudget limits the hedges and retries of one instance to one service within a sliding window.
	WindowBudget struct {
		retryLimit RetryLimit
		// share is the fraction of the slack that this instance has, 0 to 1.
		share float64
		// rounding is a random number, uniform in [0,1), that is added to the limit before it is truncated: each instance sends
		// whole requests, and the sum over all instances still keeps the shared limit.
		rounding  float64
		startedAt time.Duration
		requests  window
		extra     window
	}

	// window is a sliding-window counter with one count each for the current bucket and the preceding bucketsPerWindow buckets.
	window struct {
		counts [bucketsPerWindow + 1]int
		bucket int64
	}
)

// NewWindowBudget returns the budget of an instance started at now with the given share of the slack; rounding is a random
// number, uniform in [0,1).
func NewWindowBudget(retryLimit RetryLimit, share, rounding float64, now time.Duration) *WindowBudget {
	return &WindowBudget{retryLimit: retryLimit, share: share, rounding: rounding, startedAt: now}
}

// SetShare sets the shared limit and the fraction of its slack that this instance has.
func (b *WindowBudget) SetShare(retryLimit RetryLimit, share float64) {
	b.retryLimit, b.share = retryLimit, share
}

// OnRequest counts a first attempt.
func (b *WindowBudget) OnRequest(now time.Duration) { b.requests.add(b.bucket(now), 1) }

// Take counts a hedge or retry and returns true if the limit permits it; otherwise it counts nothing and returns false.
func (b *WindowBudget) Take(now time.Duration) bool {
	bucket := b.bucket(now)
	if b.extra.sum(bucket)+1 > int(b.limit(bucket, now)+b.rounding) {
		return false
	}
	b.extra.add(bucket, 1)
	return true
}

// Return removes a hedge or retry that was not sent from the count.
func (b *WindowBudget) Return(now time.Duration) { b.extra.add(b.bucket(now), -1) }

func (b *WindowBudget) limit(bucket int64, now time.Duration) float64 {
	slack := b.retryLimit.Slack * b.share
	if now-b.startedAt < b.retryLimit.Window {
		slack *= initialSlackFactor
	}
	return safetyFactor * (slack + b.retryLimit.Ratio*float64(b.requests.sum(bucket)))
}

func (b *WindowBudget) bucket(now time.Duration) int64 { return bucketOf(now, b.retryLimit.Window) }

func (w *window) add(bucket int64, count int) {
	w.advance(bucket)
	w.counts[bucket%int64(len(w.counts))] += count
}

func (w *window) sum(bucket int64) int {
	w.advance(bucket)
	total := 0
	for _, count := range w.counts {
		total += count
	}
	return total
}

// advance clears the buckets that have left the window.
func (w *window) advance(bucket int64) {
	if bucket-w.bucket > int64(len(w.counts)) {
		w.counts = [bucketsPerWindow + 1]int{}
		w.bucket = bucket
	}
	for ; w.bucket < bucket; w.bucket++ {
		w.counts[(w.bucket+1)%int64(len(w.counts))] = 0
	}
}
