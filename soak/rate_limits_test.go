package soak

import (
	"strconv"
	"time"
)

const (
	// rateLimitWindow, rateLimitTolerance and rateLimitSlack are those of the users' rule: in any window a leaf must not get more
	// than the tolerance times what its rate allows, plus the slack.
	rateLimitWindow    = 4 * time.Second
	rateLimitTolerance = 1.5
	rateLimitSlack     = 5
	// rateLimitGrace is the time after the first statement from which the rule holds.
	rateLimitGrace = 4 * time.Second
	// toldGrace is the time after which an instance that passed on a statement counts.
	toldGrace = 500 * time.Millisecond
)

type (
	// judgedLimit is the rate limit that a leaf states, with its arrivals in the last window.
	judgedLimit struct {
		perSecond float64
		// judgedFrom is when the rule begins to hold, or zero before the first statement.
		judgedFrom time.Time
		// toldAt holds when each run of an instance first passed on a statement.
		toldAt     map[string]time.Time
		arrivals   []arrival
		isExceeded bool
	}

	arrival struct {
		at    time.Time
		entry *process
	}
)

// setRateLimit begins to judge the rate limit of a leaf, or ends that if it is negative.
func (c *checker) setRateLimit(leafID string, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.limits, leafID)
	if perSecond >= 0 {
		c.limits[leafID] = &judgedLimit{perSecond: perSecond, toldAt: map[string]time.Time{}}
	}
}

// restartRateLimit begins to judge anew, after a fault on the link of the leaf delayed requests.
func (c *checker) restartRateLimit(leafID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit := c.limits[leafID]; limit != nil {
		c.limits[leafID] = &judgedLimit{perSecond: limit.perSecond, toldAt: map[string]time.Time{}}
	}
}

// recordStatedRate records that a leaf states its rate in the response to a request.
func (c *checker) recordStatedRate(leafID, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, entry := c.limits[leafID], c.requests[requestID].entry
	if limit == nil || entry == nil {
		return
	}
	if limit.judgedFrom.IsZero() {
		limit.judgedFrom = time.Now().Add(rateLimitGrace)
	}
	if name := entry.runName(); limit.toldAt[name].IsZero() {
		limit.toldAt[name] = time.Now()
	}
}

// checkArrival counts a request to a leaf that states a rate limit, unless its instance has had a fault lately or has not passed
// on a statement.
func (c *checker) checkArrival(leafID, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, entry := c.limits[leafID], c.requests[requestID].entry
	if limit == nil || entry == nil || limit.judgedFrom.IsZero() {
		return
	}
	now := time.Now()
	if told := limit.toldAt[entry.runName()]; told.IsZero() || now.Sub(told) < toldGrace || now.Before(limit.judgedFrom) {
		return
	}
	limit.arrivals = append(limit.arrivals, arrival{at: now, entry: entry})
	for now.Sub(limit.arrivals[0].at) > rateLimitWindow {
		limit.arrivals = limit.arrivals[1:]
	}
	count := 0
	for _, a := range limit.arrivals {
		if a.entry.timeSinceFault() > rateLimitGrace+rateLimitWindow {
			count++
		}
	}
	allowed := int(rateLimitTolerance*limit.perSecond*rateLimitWindow.Seconds() + rateLimitSlack)
	if count > allowed && !limit.isExceeded {
		limit.isExceeded = true
		c.reportViolation("leaf %s, which states a rate limit of %g a second, got %d requests in %v, want at most %d", leafID, limit.perSecond, count, rateLimitWindow, allowed)
	}
}

// limitLeafs makes some leafs of a random service state a rate limit for longer than it takes to judge it, or for a short time.
func (f *faultInjector) limitLeafs() {
	services := append([]string{"once", "safe"}, f.traffic.shards...)
	rate := []float64{0, 0.5, 1, 3, 10}[f.random.IntN(5)]
	stated := []string{strconv.FormatFloat(rate, 'f', -1, 64)}
	if f.random.IntN(4) == 0 {
		stated = append(stated, "40")
	}
	leafs := f.deployment.fleet.byService(services[f.random.IntN(len(services))])
	for _, l := range leafs[:1+f.random.IntN(len(leafs))] {
		l.setRates(rate, stated...)
		f.schedule(time.Duration(2+f.random.IntN(14))*time.Second, func() { l.setRates(-1) })
	}
}

// stateInvalidRates makes a leaf state a rate limit that is none, which must change nothing.
func (f *faultInjector) stateInvalidRates() {
	l := f.randomLeaf()
	l.setRates(-1, []string{"-1", "NaN", "+Inf", "1e999", "0x10", "", "soon"}[f.random.IntN(7)])
	f.schedule(f.longDuration(), func() { l.setRates(-1) })
}
