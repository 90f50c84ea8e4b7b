// Clients keep using the same instance, so few instances receive most of the
// requests. The share of the slack that an instance has therefore depends on its
// load. With 87 instances and 600 requests in the window, 40 of them at this
// instance, its share is
//
//	0.3/87 + 0.5*40/600 = 1/27

package hedger

import "time"

const (
	// evenPortion is the portion of the slack that is divided equally: an instance that receives its first requests has some
	// slack before the others know about them.
	evenPortion = 0.3
	// loadPortion is the portion divided in proportion to the requests. The remainder is unused, as a reserve for clients that
	// move to other instances together: their requests then count at both for a window.
	loadPortion = 0.5
	// maxEvenShares limits the share of one instance, in multiples of an equal share: an outdated total number of requests must
	// not give all of the slack to one instance.
	maxEvenShares = 6.0
)

// RequestCounter counts the requests of one instance within a sliding window.
type RequestCounter struct {
	windowLength time.Duration
	requests     window
}

// NewRequestCounter returns a counter without requests for a window of the given length.
func NewRequestCounter(windowLength time.Duration) *RequestCounter {
	return &RequestCounter{windowLength: windowLength}
}

// OnRequest counts a request.
func (c *RequestCounter) OnRequest(now time.Duration) {
	c.requests.add(bucketOf(now, c.windowLength), 1)
}

// Requests returns the number of requests within the last window.
func (c *RequestCounter) Requests(now time.Duration) int {
	return c.requests.sum(bucketOf(now, c.windowLength))
}

// InstanceShare returns the fraction of the slack that an instance has, 0 to 1, from its own number of requests and that of
// all instances in the last window; the fraction is equal for all instances if the total is unknown.
func InstanceShare(own, all, instances int) float64 {
	even := 1 / float64(max(1, instances))
	if all <= 0 {
		return even
	}
	load := float64(own) / float64(max(own, all))
	return min(maxEvenShares*even, evenPortion*even+loadPortion*load)
}

func bucketOf(now, windowLength time.Duration) int64 {
	return int64(now / max(1, windowLength/bucketsPerWindow))
}
