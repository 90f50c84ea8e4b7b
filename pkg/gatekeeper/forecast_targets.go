package gatekeeper

import (
	"fmt"
	"time"

	"lovagedeck/pkg/estimator"
	"lovagedeck/pkg/forecaster"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/splitter"
	"lovagedeck/pkg/tabulator"
)

// minStatedCost is the least part of a cost that is stated, in typical latencies.
const minStatedCost = 0.01

// sideShare is the part of the requests to a service that goes to one side of a roll-out.
type sideShare struct {
	side  splitter.Side
	share float64
	why   string
}

// explainService explains the placement of plain requests to a service, for each side of a roll-out.
func (f *fleet) explainService(in *inboundRequest, name string, bodyBytes int) []forecaster.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := f.explainLeafs(in, name, bodyBytes)
	s := f.services[name]
	for i := range targets {
		target := &targets[i]
		target.Decider = f.self
		switch {
		case s == nil:
			target.Why = "no leaf of the service is in the list of leafs"
		case !s.isPlacedByWork:
			target.Why = "leafs are compared by the number of requests of this instance"
		case s.rollout.split.IsDivided():
			target.Why = "while a roll-out divides the requests, each instance chooses itself"
		default:
			f.explainPlacing(target)
			if _, competes := f.room.competitions[name]; competes {
				target.Why += "; while room is short it turns requests of less weight away"
			}
		}
	}
	return targets
}

// explainPlacing says which instance places the requests to a service that is placed by work.
func (f *fleet) explainPlacing(target *forecaster.Target) {
	for _, instance := range f.placement.plan.Gatherers(target.Service) {
		isAvailable := instance == f.self || f.peers != nil && f.now() >= f.placement.pausedUntil[instance] && f.peers.IsAvailable(instance)
		target.Asked = append(target.Asked, forecaster.Instance{Name: instance, DataCentre: f.dataCentre, IsAvailable: isAvailable})
	}
	if heardAt, ok := f.placement.lastHeardAt[target.Service]; ok {
		target.SightAgeMs = forecaster.Age(f.now() - heardAt)
	}
	placing := f.placingInstance(target.Service)
	switch {
	case placing != "":
		target.Decider = placing
		target.Why = fmt.Sprintf("it sees all requests of the data centre to the service; without its answer within %s this instance chooses", f.placement.timeout)
	case len(target.Asked) == 0:
		target.Why = "the data centre has too few instances for a placing instance"
	case target.Asked[0].Name == f.self || target.Asked[0].IsAvailable:
		target.Why = "it is the placing instance of the service, and sees all requests of the data centre to it"
	case target.Asked[len(target.Asked)-1].Name == f.self:
		target.Why = "it is the standby of the placing instance, which cannot be asked"
	default:
		target.Why = "the placing instance and its standby cannot be asked"
	}
}

// explainLeafs explains which leaf of a service this instance would choose, for each side of a roll-out.
func (f *fleet) explainLeafs(in *inboundRequest, name string, bodyBytes int) []forecaster.Target {
	now, typical := f.now(), f.typicalLatencyOf(in.route)
	target := forecaster.Target{
		Service: name, Share: 1, SightAgeMs: forecaster.UnknownAge, CostAgeMs: forecaster.UnknownAge, UsualMs: forecaster.Milliseconds(typical),
	}
	s := f.services[name]
	if s == nil {
		return []forecaster.Target{target}
	}
	_, estimate := f.estimateCost(s, in, bodyBytes, typical, now)
	target.CostMs, target.CostRequests = forecaster.Milliseconds(estimate.Cost), estimate.Weight
	if estimate.Weight > 0 {
		target.CostAgeMs = forecaster.Age(estimate.Age)
	}
	var targets []forecaster.Target
	split := f.currentSplit(s)
	for _, side := range sidesOf(&split) {
		target := target
		target.Share, target.Side = side.share, side.why
		var criteria placer.Criteria
		var candidates []placer.Candidate
		candidates, criteria, target.IsOverLimit = f.explainSide(s, in.route, &split, side.side, estimate, now)
		for _, candidate := range candidates {
			target.Candidates = append(target.Candidates, newForecastCandidate(candidate, criteria, typical))
		}
		targets = append(targets, target)
	}
	return targets
}

// explainSide returns the leafs of a service as a request of one side sees them. If none is below its concurrency limit, the limits are
// ignored, and it returns true.
func (f *fleet) explainSide(s *service, route *router.Route, split *splitter.Split, side splitter.Side, estimate estimator.Estimate, now time.Duration) (candidates []placer.Candidate, criteria placer.Criteria, isOverLimit bool) {
	for _, selection := range []leafSelection{selectWithinLimit, selectAny} {
		criteria = f.newCriteria(route, estimate.Cost, selection, now)
		criteria.IsExcluded = versionFilter(split, side, now)
		candidates = placer.Explain(s.leafs, criteria)
		if len(candidates) > 0 && candidates[0].MayBeChosen {
			return candidates, criteria, selection == selectAny
		}
	}
	return candidates, criteria, false
}

// currentSplit returns a copy of the split of a service, with the lease as it is now.
func (f *fleet) currentSplit(s *service) splitter.Split {
	split := s.rollout.split
	if split.IsRunning() {
		split.SetControl(f.hasControl && (f.holdsLease == nil || f.holdsLease()))
	}
	return split
}

// sidesOf returns how the first attempts at requests are divided, without a draw.
func sidesOf(split *splitter.Split) []sideShare {
	rollout, _ := split.Rollout()
	if split.IsDivided() {
		share := float64(split.Share()) / tabulator.WholeShare
		return []sideShare{
			{side: splitter.New, share: share, why: fmt.Sprintf("new version %s: %s", rollout.Version, splitter.ReasonDrawn)},
			{side: splitter.Old, share: 1 - share, why: fmt.Sprintf("old version: %s", splitter.ReasonDrawn)},
		}
	}
	course := split.Decide(0, false)
	why := ""
	if course.Reason() != splitter.ReasonNone {
		why = fmt.Sprintf("roll-out to version %s: %s", rollout.Version, course.Reason())
	}
	return []sideShare{{side: course.Side(), share: 1, why: why}}
}

// typicalLatencyOf returns the typical latency of a route, and keeps nothing of one that has had no request.
func (f *fleet) typicalLatencyOf(route *router.Route) time.Duration {
	if stats := f.latencies[route.Fields().Host+route.Fields().Prefix]; stats != nil {
		return stats.typical
	}
	return initialTypicalLatency(route)
}

func newForecastCandidate(candidate placer.Candidate, criteria placer.Criteria, typical time.Duration) forecaster.Candidate {
	fields, cost := candidate.Leaf.Fields(), candidate.Cost
	known := candidate.Leaf.Knowledge(criteria.Cost, typical, criteria.Now)
	described := forecaster.Candidate{
		Leaf: fields.ID, DataCentre: fields.DataCentre, Version: fields.Version, Slots: fields.Slots, MayBeChosen: candidate.MayBeChosen,
		Excluded: string(candidate.Exclusion), UnavailableMs: forecaster.Milliseconds(known.UnavailableFor), IsFitForAdvice: isFitForAdvice(candidate.Leaf, criteria),
		Cost: cost.Total(), ExpectedMs: forecaster.Milliseconds(known.ExpectedTime), WaitMs: forecaster.Milliseconds(known.Work.Wait),
		OutstandingMs: forecaster.Milliseconds(known.Work.Outstanding), Running: known.Running, Others: known.Work.Foreign, Slowness: known.Slowness,
		SlownessAgeMs: forecaster.Age(known.SlownessAge), RateAgeMs: forecaster.UnknownAge, AnswerAgeMs: forecaster.Age(known.AnswerAge), ObservedAgeMs: forecaster.Age(known.ObservationAge),
	}
	if known.RateLimit.IsLimited() {
		described.RatePerSecond, described.RateAgeMs = known.RateLimit.PerSecond(), forecaster.Age(known.RateLimitAge)
	}
	described.Penalties = newPenalties(cost, known)
	return described
}

// newPenalties returns the parts of a cost beside the work.
func newPenalties(cost placer.Cost, known placer.Knowledge) []forecaster.Penalty {
	const never = forecaster.UnknownAge
	var stated []forecaster.Penalty
	for _, penalty := range []forecaster.Penalty{
		{Reason: "failures", Cost: cost.Failures, AgeMs: forecaster.Age(known.FailureAge)},
		{Reason: "remote", Cost: cost.Remote, AgeMs: never},
		{Reason: "new connection", Cost: cost.NewConnection, AgeMs: never},
		{Reason: "rate limit", Cost: cost.RateLimit, AgeMs: forecaster.Age(known.RateLimitAge)},
		{Reason: "stalled", Cost: cost.Stalled, AgeMs: never},
		{Reason: "warming up", Cost: cost.WarmUp, AgeMs: never, LeftMs: forecaster.Milliseconds(known.WarmUpFor)},
		{Reason: "ejected", Cost: cost.Ejected, AgeMs: never, LeftMs: forecaster.Milliseconds(known.EjectedFor)},
		{Reason: "draining", Cost: cost.Draining, AgeMs: never},
	} {
		if penalty.Cost >= minStatedCost {
			stated = append(stated, penalty)
		}
	}
	return stated
}
