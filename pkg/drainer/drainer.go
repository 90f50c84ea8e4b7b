// An instance that got the order to stop goes on serving until its end of
// service. Callers with kept connections send requests until then, and so does
// the platform while most instances of a data centre stop. A request that is
// still in progress at the end of service has no result, although leafs have
// worked on it:
//
//	order to stop                                       end of service   exit
//	|------------------ requests are taken -------------|                |
//	                    |- time that the route needs ---|                |
//	                    requests of the route are refused ---------------|

package drainer

import (
	"math"
	"slices"
	"time"
)

const (
	// historySize is the number of recent requests of a route that are remembered.
	historySize = 64
	// minHistory is the number of recent requests from which on the objective of the route is not taken into account.
	minHistory = 16
	// idempotentQuantile and onceQuantile are the shares of recent requests that ended within the time that a request is expected to
	// take. An idempotent one can be repeated if it takes longer. A refusal may fail a request as well, if its caller meets only
	// instances that stop.
	idempotentQuantile = 0.75
	onceQuantile       = 0.98
	// elsewhereRetryAfter is the Retry-After of callers whom other instances can serve. It only prevents a busy loop.
	elsewhereRetryAfter = 50 * time.Millisecond
	// restartTime is the time from the end of service until a restarted instance usually serves.
	restartTime = 1500 * time.Millisecond
)

type (
	// History holds the times that the latest requests of one route took. Its zero value is empty.
	History struct {
		times [historySize]time.Duration
		count int
	}

	// Request is what is known of a request when it arrives.
	Request struct {
		// Limit is the time until the request is answered in any case, because its caller or its route gives up.
		Limit time.Duration
		// Objective is the latency objective of the route. Less time is not expected to suffice while few requests have been seen.
		Objective time.Duration
		// IsIdempotent is set if the caller can repeat the request when its outcome is not known.
		IsIdempotent bool
	}
)

// Add records the time that a request took.
func (h *History) Add(took time.Duration) {
	h.times[h.count%historySize] = took
	h.count++
}

// ExpectedTime returns the time that the request is expected to take at most.
func (h *History) ExpectedTime(request Request) time.Duration {
	known := slices.Clone(h.times[:min(h.count, historySize)])
	if len(known) == 0 {
		if request.Objective <= 0 {
			return request.Limit
		}
		return min(request.Objective, request.Limit)
	}
	slices.Sort(known)
	quantile := onceQuantile
	if request.IsIdempotent {
		quantile = idempotentQuantile
	}
	expected := known[int(math.Ceil(quantile*float64(len(known))))-1]
	if len(known) < minHistory {
		expected = max(expected, request.Objective)
	}
	return min(expected, request.Limit)
}

// Takes reports whether an instance whose service ends after the given time takes the request.
func (h *History) Takes(left time.Duration, request Request) bool {
	return left > 0 && h.ExpectedTime(request) <= left
}

// RetryAfter returns the time after which a caller should retry a request that was refused because service ends after the given
// time. If other instances take requests, it should turn to one of them, and otherwise come back when this one has been restarted.
func RetryAfter(left time.Duration, othersServe bool) time.Duration {
	if othersServe {
		return elsewhereRetryAfter
	}
	return max(0, left) + restartTime
}
