package soak

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// restGrace is the time after a leaf has asked for rest from which requests count, and maxRestArrivals how many may arrive.
	restGrace       = 500 * time.Millisecond
	maxRestArrivals = 2
)

type (
	// leafAndRun names a leaf and a run of an instance.
	leafAndRun struct {
		leafID, run string
	}

	// judgedRest is the time for which a leaf wants no requests from a run of an instance.
	judgedRest struct {
		from, until time.Time
		arrivals    int
	}
)

// restLeafs makes some leafs of a service turn requests away and ask for rest.
func (f *faultInjector) restLeafs() {
	services := append([]string{"once", "safe"}, f.traffic.shards...)
	leafs := f.deployment.fleet.byService(services[f.random.IntN(len(services))])
	rest := []string{"1", "2.5", "0", "-1", "NaN", "1e9", "Fri, 04 Dec 2026 20:00:00 GMT"}[f.random.IntN(7)]
	for _, l := range leafs[:1+f.random.IntN(len(leafs))] {
		l.mu.Lock()
		l.rest = rest
		l.mu.Unlock()
		l.setFault("rest")
		f.schedule(f.longDuration(), func() { l.setFault("") })
	}
}

// stateLeaving makes a leaf state that it is leaving some seconds before the list shows it, and replaces it.
func (f *faultInjector) stateLeaving() {
	l := f.randomLeaf()
	f.startReplacement(l)
	l.mu.Lock()
	l.statesLeaving = true
	l.mu.Unlock()
	f.schedule(drainLimit+2*time.Second, l.drain)
	f.schedule(drainLimit+4*time.Second, func() { f.deployment.fleet.remove(l) })
}

// recordRest begins to judge the rest that a leaf asks a run of an instance for. Invalid values are not judged.
func (c *checker) recordRest(leafID, requestID, rest string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.requests[requestID].entry
	seconds, err := strconv.ParseFloat(rest, 64)
	if entry == nil || err != nil || seconds <= restGrace.Seconds() || seconds > 60 || c.mayBeRelayed() {
		return
	}
	key, now := leafAndRun{leafID, entry.runName()}, time.Now()
	if c.rests[key] == nil || now.After(c.rests[key].until) {
		c.rests[key] = &judgedRest{from: now.Add(restGrace), until: now.Add(time.Duration(seconds * float64(time.Second)))}
	}
}

// checkRest counts a request to a leaf that has asked its instance for rest.
func (c *checker) checkRest(leafID, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.requests[requestID].entry
	if entry == nil || c.mayBeRelayed() || entry.timeSinceFault() < contactWindow {
		return
	}
	now, rest := time.Now(), c.rests[leafAndRun{leafID, entry.runName()}]
	if rest == nil || now.Before(rest.from) || now.After(rest.until) {
		return
	}
	if rest.arrivals++; rest.arrivals == maxRestArrivals+1 {
		c.reportViolation("leaf %s got %d requests of %s in a rest that it had asked it for", leafID, rest.arrivals, entry.name)
	}
}

// recordLeaving records that a leaf states in the response to a request that it is leaving.
func (c *checker) recordLeaving(leafID, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry := c.requests[requestID].entry; entry != nil && !c.mayBeRelayed() {
		if key := (leafAndRun{leafID, entry.runName()}); c.leavingSince[key].IsZero() {
			c.leavingSince[key] = time.Now()
		}
	}
}

// checkLeaving checks that a leaf gets no request of an instance that it has told that it is leaving; c.mu must be held.
func (c *checker) checkLeaving(leafID, requestID string) {
	entry := c.requests[requestID].entry
	if entry == nil || c.mayBeRelayed() {
		return
	}
	since := c.leavingSince[leafAndRun{leafID, entry.runName()}]
	if !since.IsZero() && time.Since(since) > drainLimit && entry.timeSinceFault() > contactWindow {
		c.reportViolation("leaf %s got request %s of %s %v after it stated that it is leaving", leafID, requestID, entry.name, time.Since(since))
	}
}

func (l *leaf) refuseForRest(w http.ResponseWriter, requestID string) {
	l.mu.Lock()
	rest := l.rest
	l.mu.Unlock()
	w.Header().Set("Retry-After", rest)
	l.checker.recordRest(l.id, requestID, rest)
	reject(w, http.StatusServiceUnavailable)
}

func (l *leaf) stateLeaving(w http.ResponseWriter, requestID string) {
	l.mu.Lock()
	statesLeaving := l.statesLeaving
	l.mu.Unlock()
	if statesLeaving {
		w.Header().Set("Server-Leaving", "1")
		l.checker.recordLeaving(l.id, requestID)
	}
}
