// Explain states what Choose decides and why. Both use the same costs and
// exclusions, so that they cannot differ.

package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lovagedeck/pkg/limiter"
)

const (
	// NotExcluded means that the leaf may be chosen.
	NotExcluded Exclusion = ""
	// ExcludedReplaced means that another leaf now uses the address.
	ExcludedReplaced Exclusion = "another leaf has the address"
	// ExcludedOutOfService means that the data centre of the leaf is out of service.
	ExcludedOutOfService Exclusion = "its data centre is out of service"
	// ExcludedDraining means that the leaf has been draining for longer than DrainingGrace.
	ExcludedDraining Exclusion = "it is draining"
	// ExcludedAtLimit means that the concurrency limit of this instance for the leaf is reached.
	ExcludedAtLimit Exclusion = "it is at its concurrency limit"
	// ExcludedResting means that the leaf has asked this instance for rest.
	ExcludedResting Exclusion = "it has asked for rest"
	// ExcludedRateLimit means that no permit for the leaf is expected now.
	ExcludedRateLimit Exclusion = "its rate limit is used up"
	// ExcludedVersion means that the request must not go to the version of the leaf.
	ExcludedVersion Exclusion = "the roll-out keeps the request from its version"
	// ExcludedTried means that the request was already sent to the leaf.
	ExcludedTried Exclusion = "it was tried"
	// ExcludedUnhealthy means that the request requires a healthy leaf.
	ExcludedUnhealthy Exclusion = "it is not healthy"
)

type (
	// Exclusion is the reason why a leaf must not be chosen, or NotExcluded.
	Exclusion string

	// Cost is the expected time to answer and the penalties of a leaf, in typical latencies of the request.
	Cost struct {
		// Work is the time of the work and of the wait for a slot.
		Work float64
		// Failures is the time lost by failures at their present rate.
		Failures float64
		// Remote and NewConnection are the price of another data centre and of a connection that has to be opened.
		Remote        float64
		NewConnection float64
		RateLimit     float64
		Stalled       float64
		WarmUp        float64
		Ejected       float64
		Draining      float64
	}

	// Candidate is a leaf as Choose sees it.
	Candidate struct {
		Leaf *Leaf
		// Exclusion is why the leaf must not be chosen. Cost is also given for an excluded leaf.
		Exclusion Exclusion
		Cost      Cost
		// MayBeChosen is set for the leaf with the lowest cost and for those that count as equal, of which one is drawn.
		MayBeChosen bool
	}

	// Knowledge holds what is known of a leaf, and how old it is. An age below 0 means that nothing is known.
	Knowledge struct {
		Stats
		Work WorkStats
		// ExpectedTime is the expected time until the answer to the request.
		ExpectedTime time.Duration
		// AnswerAge is the time since the last answer to this instance, ObservationAge that since the latest observation of any instance.
		AnswerAge      time.Duration
		ObservationAge time.Duration
		// RateLimit is the statement of the leaf, of the age RateLimitAge.
		RateLimit    limiter.Limit
		RateLimitAge time.Duration
		// UnavailableFor is how long the leaf takes no request of this instance, or 0, EjectedFor how long it is ejected, and WarmUpFor how
		// long it warms up.
		UnavailableFor time.Duration
		EjectedFor     time.Duration
		WarmUpFor      time.Duration
		// FailureAge is the time since the failure rate last changed, and SlownessAge that since the slowness did.
		FailureAge  time.Duration
		SlownessAge time.Duration
	}
)

// Total returns the sum by which leafs are compared.
func (c Cost) Total() float64 {
	return c.Work + c.Failures + c.Remote + c.NewConnection + c.RateLimit + c.Stalled + c.WarmUp + c.Ejected + c.Draining
}

// Explain returns all leafs as Choose sees them, those that may be chosen first, then the others by cost, then the excluded ones.
func Explain(leafs []*Leaf, criteria Criteria) []Candidate {
	candidates := make([]Candidate, 0, len(leafs))
	lowest := math.Inf(1)
	for _, leaf := range leafs {
		candidate := Candidate{Leaf: leaf, Exclusion: leaf.exclusion(criteria), Cost: leaf.cost(criteria)}
		lowest = min(lowest, leaf.costOrInf(criteria))
		candidates = append(candidates, candidate)
	}
	for i := range candidates {
		candidate := &candidates[i]
		candidate.MayBeChosen = candidate.Exclusion == NotExcluded && criteria.areEqual(candidate.Cost.Total(), lowest)
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.group(), b.group()), cmp.Compare(a.Cost.Total(), b.Cost.Total()), cmp.Compare(a.Leaf.Fields().ID, b.Leaf.Fields().ID))
	})
	return candidates
}

func (c Candidate) group() int {
	if c.Exclusion != NotExcluded {
		return 1
	}
	return 0
}

// Knowledge returns what is known of the leaf for a request of the given cost, or if that is 0, of the given typical latency.
func (l *Leaf) Knowledge(cost, typicalLatency, now time.Duration) Knowledge {
	known := Knowledge{
		Stats: l.Stats(now), Work: l.WorkStats(now), ExpectedTime: l.ExpectedLatency(typicalLatency, now), RateLimit: l.rateLimit,
		AnswerAge: ageOf(l.lastAnswerAt, now), ObservationAge: ageOf(l.observedAt, now), RateLimitAge: ageOf(l.rateLimit.SeenAt(), now),
		FailureAge: ageOf(l.failureRateUpdatedAt, now), SlownessAge: ageOf(l.slownessUpdatedAt, now), EjectedFor: max(0, l.ejectedUntil-now), WarmUpFor: max(0, l.warmUpUntil-now),
	}
	if cost > 0 {
		known.ExpectedTime = l.ExpectedWork(cost, now)
	}
	if until, isDenied := l.UnavailableUntil(now); isDenied {
		known.UnavailableFor = until - now
	}
	return known
}

// ageOf returns the age of what happened at the given time, or -1 if it never did.
func ageOf(at, now time.Duration) time.Duration {
	if at == 0 {
		return -1
	}
	return max(0, now-at)
}
