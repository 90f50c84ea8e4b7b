// A leaf that is overloaded states how many requests a second it takes from all
// instances together. While it does, each request needs a permit.

package gatekeeper

import (
	"math"
	"slices"
	"time"

	"lovagedeck/pkg/limiter"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/spreader"
)

const (
	// permitWaitShare is the share of the objective that a request may wait for a permit.
	permitWaitShare = 0.25
	// unusedPermitValidity is how long a permit whose request ended early can be used for another request.
	unusedPermitValidity = 250 * time.Millisecond
	// minPermitPause is the shortest time after a denied permit until another one is requested.
	minPermitPause = 5 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a request that a rate limit left no room for: other callers wait for the
	// same permits.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest wait for a permit that a refusal states, before the spread.
	maxRetryAfter = 4 * time.Second
)

type (
	// Permits hands out the permits for leafs that limit their request rate.
	Permits interface {
		// Acquire requests a permit for a leaf of the given data centre and calls done once, from another goroutine, when the
		// permit is valid or has been denied.
		Acquire(demand limiter.Demand, dataCentre string, done func(limiter.Grant))
		// Observe records what this instance has learned of the limit of a leaf.
		Observe(leaf string, limit limiter.Limit)
		// Report passes on what a leaf of the given data centre has stated to this instance.
		Report(leaf, dataCentre string, limit limiter.Limit)
	}

	// leafGate is the gate of one upstream.
	leafGate struct {
		fleet    *fleet
		upstream *upstream
	}
)

// maxPermitWait returns how long a request of the route may wait for a permit.
func maxPermitWait(route *router.Route) time.Duration {
	return time.Duration(permitWaitShare * float64(route.Objective()))
}

// Acquire requests a permit, or takes one that another request has left unused.
func (g leafGate) Acquire(maxWait time.Duration, done func(isPermitted bool)) {
	f, u := g.fleet, g.upstream
	f.mu.Lock()
	now, limit, fields := f.now(), u.leaf.RateLimit(), u.leaf.Fields()
	isFree := !limit.IsLimited() || u.takeUnusedPermit(now)
	f.mu.Unlock()
	if isFree {
		go done(true)
		return
	}
	f.permits.Acquire(limiter.Demand{Leaf: fields.ID, Limit: limit, MaxWait: maxWait}, fields.DataCentre, func(grant limiter.Grant) {
		f.onGrant(u, grant, maxWait)
		done(grant.IsGranted)
	})
}

// Return keeps a permit for the next request of this instance to the leaf.
func (g leafGate) Return() {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	if g.upstream.leaf.RateLimit().IsLimited() {
		g.upstream.unusedPermits = append(g.upstream.unusedPermits, g.fleet.now()+unusedPermitValidity)
	}
}

func (u *upstream) takeUnusedPermit(now time.Duration) bool {
	u.unusedPermits = slices.DeleteFunc(u.unusedPermits, func(validUntil time.Duration) bool { return validUntil < now })
	if len(u.unusedPermits) == 0 {
		return false
	}
	u.unusedPermits = u.unusedPermits[1:]
	return true
}

// onGrant records the answer to a demand for a permit.
func (f *fleet) onGrant(u *upstream, grant limiter.Grant, maxWait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.onRateLimitChange(u, u.leaf.ApplyRateLimit(grant.Limit), "allocator", now)
	if !grant.IsGranted {
		u.leaf.OnPermitDenied(now + max(minPermitPause, grant.Wait-maxWait))
	}
}

// applyRateLimit applies another instance's observation of the rate limit of a leaf.
func (f *fleet) applyRateLimit(leaf string, observation spreader.Observation, now time.Duration) {
	u := f.leafs[leaf]
	if u == nil {
		return
	}
	limit := limiter.NewLimit(observation.IsRateLimited, observation.RatePerSecond, observation.SeenAt)
	f.onRateLimitChange(u, u.leaf.ApplyRateLimit(limit), "observation", now)
	f.permits.Observe(leaf, limit)
}

// onRateLimitChange makes the requests to the leaf need permits, or none, and logs the change. The source is the request whose
// response stated the rate, or says how this instance learned of it.
func (f *fleet) onRateLimitChange(u *upstream, change limiter.Change, source string, now time.Duration) {
	limit, fields := u.leaf.RateLimit(), u.leaf.Fields()
	u.pool.SetRateLimited(limit.IsLimited())
	if change == limiter.Unchanged {
		return
	}
	u.leaf.OnPermitDenied(0)
	f.hasSeenRateLimit = true
	f.log.Info("gatekeeper: rate limit of leaf", "leaf", fields.ID, "service", fields.Service, "data-centre", fields.DataCentre, "change", change.String(),
		"per-second", limit.PerSecond(), "age-ms", (now - limit.SeenAt()).Milliseconds(), "source", source)
}

// retryAfter returns when a request that needs all but the given number of the services can be repeated, or 0 if their leafs do not
// rest and their rate limits leave room for it.
func (f *fleet) retryAfter(services []string, dispensable int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var waits []time.Duration
	for _, name := range services {
		if s := f.services[name]; s != nil {
			if wait := s.permitWait(now); wait > 0 {
				waits = append(waits, wait)
			}
		}
	}
	slices.Sort(waits)
	if len(waits) <= dispensable {
		return 0
	}
	// Instances that were denied at the same time would otherwise send their callers back at the same time.
	spread := 1 + f.random.Float64()/2
	wait := max(minRetryAfter, waits[len(waits)-1-dispensable])
	return time.Duration(spread * float64(wait))
}

// permitWaitOf returns the time until a request to the service may get a permit, or 0 if it can get one now.
func (f *fleet) permitWaitOf(name string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.services[name]; s != nil {
		return s.permitWait(f.now())
	}
	return 0
}

// onPermitWait records how long the instance that gathers a shard expects to wait for a permit for one of its leafs.
func (f *fleet) onPermitWait(name string, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.services[name]; s != nil {
		s.noPermitUntil, f.hasSeenRateLimit = f.now()+wait, true
	}
}

// countDenied returns for how many of the services no permit is expected for now.
func (f *fleet) countDenied(services []string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasSeenRateLimit {
		return 0
	}
	now, denied := f.now(), 0
	for _, name := range services {
		if s := f.services[name]; s != nil && s.permitWait(now) > 0 {
			denied++
		}
	}
	return denied
}

// unpermitted returns the indices of the attempts at rate-limited leafs that have no permit.
func (f *fleet) unpermitted(attempts []*attempt) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasSeenRateLimit {
		return nil
	}
	var indices []int
	for i, a := range attempts {
		if a != nil && !a.hasPermit && a.upstream.leaf.RateLimit().IsLimited() {
			indices = append(indices, i)
		}
	}
	return indices
}

// permitWait returns the time until a request to the service may get a permit, or the rest of a leaf ends, or 0 if one of its leafs
// can take it now.
func (s *service) permitWait(now time.Duration) time.Duration {
	wait := max(0, s.noPermitUntil-now)
	shortest := time.Duration(math.MaxInt64)
	for _, leaf := range s.leafs {
		if leaf.IsDraining() || leaf.IsReplaced() || s.rollout.split.IsHeld(versionOf(leaf), now) {
			continue
		}
		until, isDenied := leaf.UnavailableUntil(now)
		if !isDenied {
			return wait
		}
		if !leaf.IsResting(now) {
			// The limit may end earlier.
			until = min(until, now+maxRetryAfter)
		}
		shortest = min(shortest, until-now)
	}
	if shortest == math.MaxInt64 {
		return wait
	}
	return max(wait, shortest)
}
