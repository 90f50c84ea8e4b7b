// An attempt is one request to one leaf. Repeated requests are charged to the
// retry budget of the service, and the outcome of each attempt updates the
// observed state of its leaf.

package gatekeeper

import (
	"slices"
	"time"

	"lovagedeck/pkg/drainer"
	"lovagedeck/pkg/estimator"
	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/retrier"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/splitter"
)

const (
	// selectWithinLimit selects among leafs that are below their concurrency limit.
	selectWithinLimit leafSelection = iota
	// selectHealthy selects only leafs that are expected to respond promptly. It is used for hedges.
	selectHealthy
	// selectAny also selects leafs at their concurrency limit. It is used when the response depends on the attempt.
	selectAny
)

const (
	// denialNone is returned together with an attempt.
	denialNone denial = iota
	// denialNoLeaf means that no leaf of the service could be selected.
	denialNoLeaf
	// denialBudget means that the retry budget of the service at this instance is used up for now.
	denialBudget
	// denialRateLimit means that the rate limits of the leafs of the service leave no room for now.
	denialRateLimit
	// denialRest means that each leaf of the service has asked this instance for rest.
	denialRest
	// denialKey means that the caller's key was taken away or given to another tenant.
	denialKey
	// denialStopping means that the service of this instance has ended.
	denialStopping
	// denialAttempts means that the route allows no more attempts.
	denialAttempts
)

const (
	// initialTypicalShare and initialTailShare are the shares of the objective assumed as typical and tail latency
	// before the first responses. An instance that has just started opens connections, and would otherwise consider
	// every request late.
	initialTypicalShare = 0.15
	initialTailShare    = 0.4
	// typicalGain is the weight of one response in the typical latency. maxTypicalDeviation limits how far a response
	// may lie from the typical latency, as a multiple of it, so that the latter still follows the healthy leafs when a
	// sixth of the leafs is slow.
	typicalGain         = 0.05
	maxTypicalDeviation = 0.5
	// maxHedgeFactor limits the hedge delay, as a multiple of the typical latency: the quantile also rises with the
	// slow leafs that hedges are meant for. One response in fifty of a healthy leaf takes longer.
	maxHedgeFactor = 2.2
	// hedgeReserveFactor is the time that must remain between a hedge and the due time, as a multiple of the typical
	// latency.
	hedgeReserveFactor = 1.5
	// hedgeQuantile is the share of responses that arrive before a hedge is sent.
	hedgeQuantile = 0.93
)

type (
	// latencyStats holds the observed latencies of one route.
	latencyStats struct {
		typical time.Duration
		tail    *hedger.Quantile
		// history holds the times of whole requests.
		history drainer.History
		// reportTime is the time until another instance sends its first report on a slice.
		reportTime *hedger.Quantile
	}

	// leafSelection is the set of leafs that may be selected for an attempt.
	leafSelection int

	// denial is the reason why no attempt was started.
	denial int

	// attempt is one request to one leaf.
	attempt struct {
		id        uint64
		shard     int
		upstream  *upstream
		latency   *latencyStats
		startedAt time.Duration
		exchange  *exchanger.Exchange
		isExtra   bool
		// hasPermit is set if the leaf limits its request rate and the attempt has a permit for it.
		hasPermit bool
		// isAbandoned is set once the attempt has been given up.
		isAbandoned bool
		// isLateRecorded reports whether the attempt has been recorded as late.
		isLateRecorded bool
		// expectedDuration is the estimated time until the response.
		expectedDuration time.Duration
		// cost is the expected work if the leaf was chosen by work, else 0; costKey its group. wait is the expected wait for a slot,
		// and slowness that of the leaf at the start.
		cost, wait time.Duration
		costKey    estimator.Key
		slowness   float64
		// advice is that of the instance that placed the request, or nil.
		advice *advice
		// version is that of the leaf, and course is why the attempt went to it.
		version string
		course  splitter.Course
		// route is the name of the route, for the evidence on a roll-out.
		route string
		// isEnded is set once the attempt no longer counts as in progress.
		isEnded bool
	}
)

// String returns the reason as it appears in logs and metrics.
func (d denial) String() string {
	switch d {
	case denialNoLeaf:
		return "no leaf"
	case denialBudget:
		return "budget"
	case denialRateLimit:
		return "rate limit"
	case denialRest:
		return "rest"
	case denialKey:
		return "key"
	case denialStopping:
		return "stopping"
	case denialAttempts:
		return "attempts of the route"
	}
	return ""
}

// progress returns what is known of the attempt. Until it is given up, one that is not sent may be sent at any moment.
func (a *attempt) progress() retrier.Progress {
	if a.exchange == nil {
		return retrier.NotSent
	}
	return a.exchange.Progress()
}

// latencyOf returns the latency statistics of a route, identified by its host and path prefix.
func (f *fleet) latencyOf(route *router.Route) *latencyStats {
	path := route.Fields().Host + route.Fields().Prefix
	stats := f.latencies[path]
	if stats == nil {
		objective := float64(route.Objective())
		stats = &latencyStats{
			typical:    initialTypicalLatency(route),
			tail:       hedger.NewQuantileAt(hedgeQuantile, time.Duration(initialTailShare*objective)),
			reportTime: newReportQuantile(objective),
		}
		f.latencies[path] = stats
	}
	return stats
}

func initialTypicalLatency(route *router.Route) time.Duration {
	return time.Duration(initialTypicalShare * float64(route.Objective()))
}

// recordRequest records the time that an answered request took.
func (f *fleet) recordRequest(route *router.Route, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latencyOf(route).history.Add(took)
}

func (s *latencyStats) record(took time.Duration) {
	maxStep := maxTypicalDeviation * float64(s.typical)
	s.typical += time.Duration(typicalGain * max(-maxStep, min(float64(took-s.typical), maxStep)))
	s.tail.Add(took)
}

// hedgeDelay returns how long to wait for a response before sending a hedge. The response is due after the given time.
func (s *latencyStats) hedgeDelay(due time.Duration) time.Duration {
	maxDelay := time.Duration(maxHedgeFactor * float64(s.typical))
	return max(s.typical, min(s.tail.Value(), maxDelay, due-time.Duration(hedgeReserveFactor*float64(s.typical))))
}

// newAttempt selects a leaf of the service and registers an attempt at it. An extra attempt repeats a request that has
// reached a leaf, or may have, and is charged to the retry budget. The course decides the version of the leaf during a roll-out.
func (f *fleet) newAttempt(in *inboundRequest, serviceName string, tried []*placer.Leaf, selection leafSelection, isExtra bool, course *splitter.Course, advised *advice) (*attempt, denial) {
	f.mu.Lock()
	defer f.mu.Unlock()
	route := in.route
	if f.hasServiceEnded {
		return nil, denialStopping
	}
	s := f.services[serviceName]
	if s == nil {
		return nil, denialNoLeaf
	}
	now, latency := f.now(), f.latencyOf(route)
	key, estimate := f.estimateCost(s, in, len(in.request.Body), latency.typical, now)
	cost := estimate.Cost
	criteria := f.newCriteria(route, cost, selection, now)
	criteria.Tried, criteria.TieBreaker = tried, f.random.Float64()
	leaf, chosen := f.chooseVersion(s, course, isExtra, criteria, advised)
	if leaf == nil && s.permitWait(now) > 0 {
		if s.isResting(now) {
			return nil, denialRest
		}
		return nil, denialRateLimit
	}
	if leaf == nil {
		return nil, denialNoLeaf
	}
	if isExtra && !s.budget.Take(now) {
		return nil, denialBudget
	}
	f.lastID++
	a := &attempt{
		id: f.lastID, upstream: s.upstreamOf(leaf), latency: latency, startedAt: now, isExtra: isExtra,
		version: leaf.Fields().Version, course: chosen, route: route.Name(),
	}
	*course = chosen.AfterAttempt()
	if cost > 0 {
		f.startWork(a, key, cost, now, advised)
	} else {
		a.expectedDuration = leaf.ExpectedLatency(a.latency.typical, now)
		leaf.OnSend(a.id, a.latency.typical, now)
	}
	f.recordStart(a, now)
	f.recordVersionStart(s.rollout, a)
	return a, denialNone
}

// newCriteria returns the requirements of a request of the given cost, or 0, on the leaf that gets it.
func (f *fleet) newCriteria(route *router.Route, cost time.Duration, selection leafSelection, now time.Duration) placer.Criteria {
	return placer.Criteria{
		Cost: cost, Now: now, DataCentre: f.dataCentre, IsOutOfService: func(dataCentre string) bool { return f.outOfService[dataCentre] },
		IsNonIdempotent: !route.Idempotent(), RequiresHealthy: selection == selectHealthy, IgnoresLimit: selection == selectAny,
	}
}

// leafStats returns the observed state of an attempt's leaf.
func (f *fleet) leafStats(a *attempt) placer.Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.upstream.leaf.Stats(f.now())
}

// isResting reports whether a leaf of the service has asked for rest.
func (s *service) isResting(now time.Duration) bool {
	return slices.ContainsFunc(s.leafs, func(leaf *placer.Leaf) bool { return leaf.IsResting(now) })
}

// areResting reports whether a leaf of one of the services has asked for rest.
func (f *fleet) areResting(services []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return slices.ContainsFunc(services, func(name string) bool { return f.services[name] != nil && f.services[name].isResting(now) })
}

func (s *service) upstreamOf(leaf *placer.Leaf) *upstream {
	for _, u := range s.upstreams {
		if u.leaf == leaf {
			return u
		}
	}
	return nil
}

// finish records the result of an attempt and its outcome. An extra attempt that was not sent is refunded to the retry budget.
func (f *fleet) finish(a *attempt, outcome placer.Outcome, result exchanger.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, took := f.now(), result.ResponseTime
	f.recordEnd(a, result, now)
	leaf := a.upstream.leaf
	wasEjected, wasReplaced := leaf.IsEjected(now), leaf.IsReplaced()
	leaf.OnEnd(a.id, outcome, took, a.latency.typical, now)
	if wasEjected != leaf.IsEjected(now) || wasReplaced != leaf.IsReplaced() {
		f.logLeafState(leaf, outcome, now)
	}
	f.publishLeafState(leaf, now)
	f.measureRoom(leaf.Fields().Service, outcome == placer.Refused, now)
	f.recordEvidence(a, outcome, result)
	if outcome == placer.Answered && !f.isNewVersion(a) {
		a.latency.record(took)
		f.endWork(a, took, now)
	} else {
		f.endWork(a, 0, now)
	}
	f.refundBudget(a, result.Progress)
}

// logLeafState logs that a leaf is no longer used, or is used again.
func (f *fleet) logLeafState(leaf *placer.Leaf, outcome placer.Outcome, now time.Duration) {
	stats := leaf.Stats(now)
	f.log.Info("gatekeeper: leaf believed", "leaf", leaf.Fields().ID, "service", leaf.Fields().Service, "away", stats.IsEjected,
		"replaced", leaf.IsReplaced(), "after", outcome.String(), "faults", stats.FailureRate, "slowness", stats.Slowness)
}

// recordLate records attempts that have exceeded the hedge delay before they end, so that other instances learn of a
// slow leaf early.
func (f *fleet) recordLate(attempts []*attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, a := range attempts {
		if a.isLateRecorded {
			continue
		}
		a.isLateRecorded = true
		a.upstream.leaf.OnOverdue(now-a.startedAt, a.latency.typical, now)
		f.publishLeafState(a.upstream.leaf, now)
	}
	f.checkIfSilent()
}

// abandon records an attempt that was given up, for example because another one succeeded or the caller disconnected.
func (f *fleet) abandon(a *attempt, progress retrier.Progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.detector.OnEnd(a.id, now)
	f.endWork(a, 0, now)
	f.recordAbandoned(a, progress, now)
	if f.hasServiceEnded {
		// The attempt was given up because of this instance.
		return
	}
	a.upstream.leaf.OnAbandon(a.id, now-a.startedAt, a.latency.typical, now)
	if progress.MayHaveArrived() {
		f.publishLeafState(a.upstream.leaf, now)
	}
	f.refundBudget(a, progress)
}

func (f *fleet) refundBudget(a *attempt, progress retrier.Progress) {
	if !a.isExtra || progress.MayHaveArrived() {
		return
	}
	if s := f.services[a.upstream.leaf.Fields().Service]; s != nil {
		s.budget.Return(f.now())
	}
}
