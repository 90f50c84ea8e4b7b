// After a loss of all instances, all callers come at once to instances that do
// not know their routes yet. A caller with enough time is told to retry after
// the usual startup time, and the retries are spread by random jitter. A caller
// that would return too early, or that arrives when startup takes longer than
// usual, waits here instead: most callers would not retry after a second
// refusal.

package gatekeeper

import (
	"math/rand/v2"
	"net/http"
	"time"

	"lovagedeck/pkg/router"
)

const (
	// typicalStartupTime is how long an instance usually takes to learn its routes, also after a loss of all instances.
	typicalStartupTime = 900 * time.Millisecond
	// retrySpread is the interval over which callers retry. The queries of one second keep a shard of three leafs busy
	// for half of this interval.
	retrySpread = 500 * time.Millisecond
	// maxRetryShare is the share of its timeout after which a caller retries at the latest, whatever Retry-After
	// states.
	maxRetryShare = 1.0 / 3
	// maxWaitShare is the largest share of its timeout that a caller waits for the first routes.
	maxWaitShare = 0.5
)

// startupPlan is how long a request waits for the first routes, and the Retry-After if it is refused.
type startupPlan struct {
	wait       time.Duration
	retryAfter time.Duration
}

// planStartup decides whether a request waits or is refused, by the uptime of the instance and the timeout of the
// caller. The jitter is uniform in [0,1).
func planStartup(uptime, timeout time.Duration, jitter float64) startupPlan {
	remaining := typicalStartupTime - uptime
	maxDelay := time.Duration(maxRetryShare * float64(timeout))
	if remaining > 0 && remaining <= maxDelay {
		spread := min(retrySpread, maxDelay-remaining)
		return startupPlan{retryAfter: remaining + time.Duration(jitter*float64(spread))}
	}
	return startupPlan{wait: time.Duration(maxWaitShare * float64(timeout)), retryAfter: unreadyRetryAfter}
}

// awaitInitialization waits until routes and leafs are known, and returns the routes. If that takes too long, it
// refuses the request and returns nil.
func (g *Gatekeeper) awaitInitialization(w http.ResponseWriter, r *http.Request, id string) *router.Table {
	startedAt := time.Now()
	timeout := callerTimeout(r.Header, g.config.Headers.RemainingTime)
	plan := planStartup(g.config.Now(), timeout, rand.Float64())
	timer := time.NewTimer(plan.wait)
	defer timer.Stop()
	if plan.wait > 0 {
		select {
		case <-g.initialized:
			return g.table.Load()
		case <-timer.C:
		case <-r.Context().Done():
		case <-g.service.Done():
			g.refuseStopping(w, r, refusal{id: id, took: time.Since(startedAt), callerTimeout: timeout})
			return nil
		}
	}
	g.refuse(w, refusal{
		id: id, status: http.StatusServiceUnavailable, retryAfter: plan.retryAfter,
		reason: "the routes or the leafs are not known yet", took: time.Since(startedAt), callerTimeout: timeout,
	})
	return nil
}

// signalInitialized releases the waiting requests once both routes and leafs are known.
func (g *Gatekeeper) signalInitialized() {
	if g.table.Load() != nil && g.hasRoster.Load() {
		g.initializeOnce.Do(func() { close(g.initialized) })
	}
}
