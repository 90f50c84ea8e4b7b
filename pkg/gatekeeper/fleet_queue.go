// While a plain service has too little room, the instance that places its
// requests turns some of them away before they are sent, and the instance that
// has the request refuses it at once. An instance that decides alone turns away
// only what no leaf can begin with in time.

package gatekeeper

import (
	"slices"
	"time"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/arbiter"
	"lovagedeck/pkg/placer"
)

const (
	// reasonOthersFirst and reasonTooLate are the reasons of refusals of plain requests that no leaf has run.
	reasonOthersFirst = "the leafs have room for a part of the requests only"
	reasonTooLate     = "no leaf is expected to serve the request in time"
)

// admissionOf returns what decides whether a request is turned away, or nil if it is not to be: the service is not placed by work, or its
// requests do not compete.
func (f *fleet) admissionOf(in *inboundRequest, service string) *aggregator.AdmissionQuery {
	f.mu.Lock()
	defer f.mu.Unlock()
	competition, competes := f.room.competitions[service]
	if s := f.services[service]; !competes || s == nil || !s.isPlacedByWork {
		return nil
	}
	return &aggregator.AdmissionQuery{Rank: max(0, in.priority()-competition.TopPriority), Usage: in.allowanceUsage, Objective: competition.Shortest}
}

// judgePlaced decides on a request that this instance places at a leaf.
func (f *fleet) judgePlaced(query aggregator.PlaceQuery, leaf *placer.Leaf, cost, now time.Duration) (refusal aggregator.PlaceReply, isTurnedAway bool) {
	if query.Admission == nil {
		return aggregator.PlaceReply{}, false
	}
	queue := f.placement.queues[query.Key.Service]
	if queue == nil {
		queue = arbiter.NewQueue()
		f.placement.queues[query.Key.Service] = queue
	}
	request := newArbiterRequest(query)
	request.Wait = leaf.WorkStats(now).Wait
	request.Cost = leaf.ExpectedWork(cost, now) - request.Wait
	verdict := queue.Judge(request, f.random.Float64(), now)
	return newRefusal(verdict, request), !verdict.IsAdmitted
}

// judgeOwn decides on a request for which no other instance is asked. Unless this is the placing instance of the service, it does not see the
// requests of the others.
func (f *fleet) judgeOwn(query aggregator.PlaceQuery, tried []*placer.Leaf) *advice {
	gatherers := f.placement.plan.Gatherers(query.Key.Service)
	if query.Admission == nil || len(gatherers) == 0 || gatherers[0] != f.self {
		return f.judgeAlone(query, tried)
	}
	now, s := f.now(), f.services[query.Key.Service]
	cost := f.placement.costs.Estimate(query.Key, query.Prior, now).Cost
	if s == nil || s.rollout.split.IsDivided() {
		return nil
	}
	leaf := placer.Choose(s.leafs, f.placingCriteria(query, tried, cost, now))
	if leaf == nil {
		return nil
	}
	if refusal, isTurnedAway := f.judgePlaced(query, leaf, cost, now); isTurnedAway {
		return &advice{instance: f.self, reply: refusal}
	}
	return nil
}

// judgeAlone decides on a request by what this instance knows of the leafs.
func (f *fleet) judgeAlone(query aggregator.PlaceQuery, tried []*placer.Leaf) *advice {
	s := f.services[query.Key.Service]
	if query.Admission == nil || s == nil {
		return nil
	}
	now := f.now()
	cost := f.placement.costs.Estimate(query.Key, query.Prior, now).Cost
	criteria := f.placingCriteria(query, tried, cost, now)
	var waits []time.Duration
	for _, leaf := range s.leafs {
		if placer.Choose([]*placer.Leaf{leaf}, criteria) != nil {
			waits = append(waits, leaf.WorkStats(now).Wait)
		}
	}
	if len(waits) == 0 {
		return nil
	}
	request := newArbiterRequest(query)
	request.Wait, request.Cost = slices.Min(waits), cost
	verdict := arbiter.JudgeAlone(request, f.random.Float64())
	if verdict.IsAdmitted {
		return nil
	}
	return &advice{instance: f.self, reply: newRefusal(verdict, request)}
}

// removeQueues removes what is known of services that are not placed by work any more.
func (f *fleet) removeQueues() {
	for name := range f.placement.queues {
		if s := f.services[name]; s == nil || !s.isPlacedByWork {
			delete(f.placement.queues, name)
		}
	}
}

func newArbiterRequest(query aggregator.PlaceQuery) arbiter.Request {
	return arbiter.Request{
		Class: arbiter.Class{Route: query.Key.Route, Tenant: query.Key.Tenant}, Rank: query.Admission.Rank, Usage: query.Admission.Usage,
		Left: query.TimeLeft, Objective: query.Admission.Objective,
	}
}

func newRefusal(verdict arbiter.Verdict, request arbiter.Request) aggregator.PlaceReply {
	return aggregator.PlaceReply{
		Cost: request.Cost, Wait: request.Wait, IsTurnedAway: true, IsTooLate: verdict.IsTooLate, RetryAfter: verdict.RetryAfter, MaxWait: verdict.MaxWait,
	}
}

// admission returns what decides whether the request is turned away, or nil if it is not to be. A refusal states that it has not run.
func (f *forwarder) admission(selection leafSelection) *aggregator.AdmissionQuery {
	if selection != selectWithinLimit || len(f.attempts) > 0 || f.known().MayHaveRun() {
		return nil
	}
	return f.gate.fleet.admissionOf(f.in, f.service)
}

// onTurnedAway ends a request that is not sent to another leaf for lack of room.
func (f *forwarder) onTurnedAway(advised *advice, admission *aggregator.AdmissionQuery) {
	reply := advised.reply
	f.turnedAway = &turnedAway{reason: reasonOthersFirst, retryAfter: reply.RetryAfter, details: []any{
		"tenant", f.in.tenantName(), "priority", f.in.priority(), "rank", admission.Rank, "usage", admission.Usage, "decided-by", advised.instance,
		"expected-wait-ms", reply.Wait.Milliseconds(), "expected-cost-ms", reply.Cost.Milliseconds(), "max-wait-ms", reply.MaxWait.Milliseconds(),
	}}
	if reply.IsTooLate {
		f.turnedAway.reason = reasonTooLate
	}
	f.execution.OnExhausted(onlyShard)
}
