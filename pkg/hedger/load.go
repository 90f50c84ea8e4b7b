// Callers stay with an instance, so that few instances have most of the
// requests. The fixed number of the shared bound follows the load:
//
//	87 instances, 600 requests in the window, 40 of them here: 0.3/87 + 0.5*40/600 = a twenty-seventh of it

package hedger

import "time"

const (
	// evenShare is the part of the fixed number that is divided evenly: an instance that gets its first requests has some of it
	// before the others hear of them.
	evenShare = 0.3
	// loadShare is the part that follows the requests; the rest is left for callers that move together to other instances,
	// where both count them for a window.
	loadShare = 0.5
	// mostEven bounds the part of one instance, in even parts: a count of all requests that lags behind must not give
	// everything to one.
	mostEven = 6.0
)

// Load counts the requests of one instance in the last window.
type Load struct {
	span     time.Duration
	requests window
}

// NewLoad returns a load without requests.
func NewLoad(span time.Duration) *Load { return &Load{span: span} }

// OnRequest counts a request.
func (l *Load) OnRequest(now time.Duration) { l.requests.add(stepOf(now, l.span), 1) }

// Requests returns how many requests came within the last window.
func (l *Load) Requests(now time.Duration) int { return l.requests.sum(stepOf(now, l.span)) }

// Part returns an instance's part of what all instances share, by its own requests and those of all in the last window;
// an even part where those of all are not known.
func Part(own, all, instances int) float64 {
	even := 1 / float64(max(1, instances))
	if all <= 0 {
		return even
	}
	share := float64(own) / float64(max(own, all))
	return min(mostEven*even, evenShare*even+loadShare*share)
}

func stepOf(now, span time.Duration) int64 { return int64(now / max(1, span/steps)) }
