// After the loss of all instances every caller comes at once to instances that
// know no routes yet. One that has the time is told to come back when the start
// is over, spread so that not all come back together. One that would be back
// too early, or comes while the start takes longer than usual, waits here: a
// second refusal would be the last answer that most callers wait for.

package gatekeeper

import (
	"math/rand/v2"
	"net/http"
	"time"

	"lovagedeck/pkg/router"
)

const (
	// startTime is how long an instance usually takes to learn its routes, after the loss of all instances too.
	startTime = 900 * time.Millisecond
	// startSpread is the time over which callers return: a second's worth of queries takes a shard of three leafs half of it.
	startSpread = 500 * time.Millisecond
	// returnPart is the part of its time after which a caller comes back at the latest, whatever it is told.
	returnPart = 1.0 / 3
	// waitPart is the part of its time that a caller waits for the first routes at most.
	waitPart = 0.5
)

// startPlan is what a request meets at an instance without routes: it waits, or comes back after a time.
type startPlan struct {
	wait       time.Duration
	retryAfter time.Duration
}

// planStart decides by how long the instance has been running and how long the caller still waits; tie is uniform in [0,1).
func planStart(running, patience time.Duration, tie float64) startPlan {
	left := startTime - running
	longest := time.Duration(returnPart * float64(patience))
	if left > 0 && left <= longest {
		spread := min(startSpread, longest-left)
		return startPlan{retryAfter: left + time.Duration(tie*float64(spread))}
	}
	return startPlan{wait: time.Duration(waitPart * float64(patience)), retryAfter: retryUnready}
}

// awaitStart returns the routes where they and the leafs become known while the request waits; otherwise it refuses the
// request and returns nil.
func (g *Gatekeeper) awaitStart(w http.ResponseWriter, r *http.Request, id string) *router.Table {
	begun := time.Now()
	waits := patience(r.Header, g.config.Headers.TimeLeft)
	plan := planStart(g.config.Now(), waits, rand.Float64())
	timer := time.NewTimer(plan.wait)
	defer timer.Stop()
	if plan.wait > 0 {
		select {
		case <-g.started:
			return g.table.Load()
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	g.refuse(w, refusal{
		id: id, status: http.StatusServiceUnavailable, retryAfter: plan.retryAfter,
		reason: "the routes or the leafs are not known yet", took: time.Since(begun), patience: waits,
	})
	return nil
}

// noteStart releases the requests that wait for the first routes and leafs.
func (g *Gatekeeper) noteStart() {
	if g.table.Load() != nil && g.listed.Load() {
		g.startOnce.Do(func() { close(g.started) })
	}
}
