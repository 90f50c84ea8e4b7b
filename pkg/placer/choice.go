// Each leaf of a service gets a cost, which is its expected time to answer, and
// the leaf with the lowest cost gets the request. Penalties rank stalled,
// warming-up, ejected and draining leafs behind all healthy ones, so that they
// are a last resort.

package placer

import (
	"math"
	"slices"
	"time"
)

const (
	// failureWeight converts a failure rate into lost time, in typical latencies: a failed request costs its own time, the
	// time of another request and one of the few attempts. For some seconds after a failure the result exceeds the cost of
	// a remote data centre plus that of a new connection.
	failureWeight = 8.0
	// nonIdempotentFailureWeight is higher because a non-idempotent request is not retried once a leaf may have run it, so that
	// its failure reaches the caller.
	nonIdempotentFailureWeight = 40.0
	// remoteCost prefers a leaf of the local data centre while it is expected to answer within twice the typical latency:
	// traffic between data centres is billed, and a request to a pausing leaf is hedged.
	remoteCost = 1.0
	// newConnectionCost applies to leafs without a persistent connection: opening one takes about 10 ms, compared to a
	// typical latency of 28 ms.
	newConnectionCost = 0.4
	// The costs below are in typical latencies. They rank the leafs that are not healthy behind all healthy ones, in the
	// order stalled, warming up, ejected, draining.
	stalledCost  = 40.0
	warmUpCost   = 100.0
	ejectedCost  = 400.0
	drainingCost = 2000.0
)

type (
	// Criteria holds the requirements of one request on the leaf that is chosen.
	Criteria struct {
		Now        time.Duration
		DataCentre string
		// IsOutOfService reports whether a data centre is out of service and receives no new requests.
		IsOutOfService func(dataCentre string) bool
		// IsExcluded reports whether the version of a leaf excludes it. It may be nil.
		IsExcluded func(leaf *Leaf) bool
		// Tried holds the leafs that the request was already sent to; they are excluded.
		Tried []*Leaf
		// RequiresHealthy excludes leafs that are stalled, ejected, warming up, draining or rate-limited.
		RequiresHealthy bool
		// IsNonIdempotent is set if the request must not be sent again after a failure.
		IsNonIdempotent bool
		// IgnoresLimit also allows leafs that have reached their concurrency limit.
		IgnoresLimit bool
		// Cost is the expected work of the request at a leaf of usual speed. If it is 0, leafs are compared by the number of
		// requests in progress.
		Cost time.Duration
		// TieBreaker is a random number, uniform in [0,1), that selects among leafs of equal cost.
		TieBreaker float64
	}
)

// Choose returns the eligible leaf with the lowest cost, or nil if none is eligible.
func Choose(leafs []*Leaf, criteria Criteria) *Leaf {
	var best *Leaf
	lowestCost := math.Inf(1)
	position := criteria.TieBreaker * float64(len(leafs))
	offset := int(position)
	var costs []float64
	for i := range leafs {
		leaf := leafs[(i+offset)%len(leafs)]
		cost := leaf.costOrInf(criteria)
		if cost < lowestCost {
			best, lowestCost = leaf, cost
		}
		if criteria.Cost > 0 {
			costs = append(costs, cost)
		}
	}
	if best == nil || criteria.Cost == 0 {
		return best
	}
	var nearEqual []*Leaf
	for i, cost := range costs {
		if criteria.areEqual(cost, lowestCost) {
			nearEqual = append(nearEqual, leafs[(i+offset)%len(leafs)])
		}
	}
	return nearEqual[int((position-float64(offset))*float64(len(nearEqual)))]
}

// costOrInf returns the cost of the leaf, or infinity if it is excluded.
func (l *Leaf) costOrInf(criteria Criteria) float64 {
	if l.exclusion(criteria) != NotExcluded {
		return math.Inf(1)
	}
	return l.cost(criteria).Total()
}

// areEqual reports whether a leaf of the given cost may be chosen if the lowest one is as given.
func (c Criteria) areEqual(cost, lowest float64) bool {
	if c.Cost == 0 {
		return cost <= lowest
	}
	return cost <= lowest+nearEqualCost
}

// exclusion returns why the leaf must not be chosen, or NotExcluded.
func (l *Leaf) exclusion(criteria Criteria) Exclusion {
	switch {
	case l.isReplaced:
		return ExcludedReplaced
	case criteria.IsOutOfService != nil && criteria.IsOutOfService(l.fields.Load().DataCentre):
		return ExcludedOutOfService
	case l.IsClosed(criteria.Now):
		return ExcludedDraining
	case l.IsAtLimit(criteria.Now) && !criteria.IgnoresLimit:
		return ExcludedAtLimit
	}
	if _, isDenied := l.UnavailableUntil(criteria.Now); isDenied {
		if l.IsResting(criteria.Now) {
			return ExcludedResting
		}
		return ExcludedRateLimit
	}
	switch {
	case criteria.IsExcluded != nil && criteria.IsExcluded(l):
		return ExcludedVersion
	case slices.Contains(criteria.Tried, l):
		return ExcludedTried
	case criteria.RequiresHealthy && !l.isHealthy(criteria.Now):
		return ExcludedUnhealthy
	}
	return NotExcluded
}

func (l *Leaf) isHealthy(now time.Duration) bool {
	return !l.IsDraining() && !l.IsEjected(now) && !l.IsWarmingUp(now) && !l.IsStalled(now) && !l.rateLimit.IsLimited()
}

// cost returns the expected time to answer, including penalties.
func (l *Leaf) cost(criteria Criteria) Cost {
	now := criteria.Now
	slots := float64(max(1, l.fields.Load().Slots))
	cost := Cost{Work: l.slownessAt(now) * (1 + float64(len(l.running))/slots)}
	if criteria.Cost > 0 {
		cost.Work = l.workCost(criteria.Cost, now)
	}
	cost.Failures = criteria.failureWeight() * l.failureRateAt(now)
	if l.fields.Load().DataCentre != criteria.DataCentre {
		cost.Remote = remoteCost
	}
	if l.isOutsideSubset {
		cost.NewConnection = newConnectionCost
	}
	cost.RateLimit = l.rateLimitCostAt(now)
	if l.IsStalled(now) {
		cost.Stalled = stalledCost
	}
	if l.IsWarmingUp(now) {
		cost.WarmUp = warmUpCost
	}
	if l.IsEjected(now) {
		cost.Ejected = ejectedCost
	}
	if l.IsDraining() {
		cost.Draining = drainingCost
	}
	return cost
}

func (c Criteria) failureWeight() float64 {
	if c.IsNonIdempotent {
		return nonIdempotentFailureWeight
	}
	return failureWeight
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
