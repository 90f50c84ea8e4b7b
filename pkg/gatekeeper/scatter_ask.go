// A query asks one leaf of each shard, and another one where the first is late
// or brought no part.

package gatekeeper

import (
	"time"

	"lovagedeck/pkg/exchanger"
)

// askAll places all first requests before it sends any: how many are expected in time decides how long they run, and
// whether a shard without a ready leaf can be missed. It sends none, and returns false, where more shards have no leaf at
// all than an answer may lack.
func (q *query) askAll() bool {
	groups := q.groupByInstance()
	q.gate.fleet.countRequest(q.ownShards(groups))
	placed, enough := q.placeAll(groups)
	if !enough {
		q.takeBack()
		return false
	}
	q.handOver(groups)
	q.sendAll(placed)
	return true
}

// sendAll sends the requests of the shards that no other instance gathers.
func (q *query) sendAll(placed []*attempt) {
	inTime := 0
	for shard := range q.shards {
		switch a := placed[shard]; {
		case q.slices[shard] != nil:
			inTime++
		case a == nil:
			q.course.OnDenied(shard, q.gate.config.Now())
		case a.begun+a.expected <= q.plan.SoftDeadline:
			inTime++
		}
	}
	q.course.SetExpectedParts(inTime)
	for shard, a := range placed {
		if a != nil {
			q.send(shard, a)
		}
	}
}

// placeAll chooses a leaf for each shard that this instance asks, where needed also one that is not ready, and tells whether
// these and the shards of other instances make an answer.
func (q *query) placeAll(groups map[string][]int) (placed []*attempt, enough bool) {
	placed = make([]*attempt, len(q.shards))
	own := q.ownPlaces(groups)
	least := q.in.route.MinParts() - (len(q.shards) - len(own))
	found := q.placeMissing(placed, own, needReady)
	if found < least {
		found += q.placeMissing(placed, own, needAny)
	}
	return placed, found >= least
}

// placeMissing chooses a leaf for each of the shards that has none yet, and returns for how many it found one.
func (q *query) placeMissing(placed []*attempt, shards []int, need need) int {
	found := 0
	for _, shard := range shards {
		if placed[shard] != nil {
			continue
		}
		if placed[shard], _ = q.place(shard, need); placed[shard] != nil {
			found++
		}
	}
	return found
}

// takeBack gives up attempts that were not sent.
func (q *query) takeBack() {
	for _, a := range q.attempts {
		q.gate.fleet.endLate(a, false)
	}
	q.attempts = nil
}

// ask sends the request to another leaf of the shard.
func (q *query) ask(shard int, need need) {
	a, why := q.place(shard, need)
	if a == nil {
		q.onDenied(shard, need, why)
		return
	}
	if need != needAny {
		q.gate.counters.hedges.Inc()
		q.gate.noteExtra(q.in, a, "hedge", "the first leaf is late")
	} else {
		q.gate.noteExtra(q.in, a, "retry", "the attempt before brought no part")
	}
	q.send(shard, a)
}

// onDenied lets the shard be tried again later, unless all its leafs have run the request already.
func (q *query) onDenied(shard int, need need, why denial) {
	if need == needAny && why == denialNoLeaf && len(q.tried[shard]) == len(q.ran[shard]) {
		q.course.OnExhausted(shard)
		return
	}
	q.course.OnDenied(shard, q.gate.config.Now())
}

// hedgeNeed returns which leafs will do for a second request: sound ones, and any that has room once the answer is late
// and cannot do without the shard.
func (q *query) hedgeNeed(now time.Duration) need {
	if q.course.IsOverdue(now) {
		return needReady
	}
	return needSound
}

// place chooses a leaf for the shard, or returns why there is none.
func (q *query) place(shard int, need need) (*attempt, denial) {
	a, why := q.gate.fleet.begin(q.in.route, q.shards[shard], q.tried[shard], need, q.arrived[shard])
	q.gate.counters.denied(why)
	if a == nil {
		if why == denialBudget {
			q.overBudget++
		}
		return nil, why
	}
	if a.isExtra {
		q.extra++
	}
	a.shard = shard
	q.tried[shard] = append(q.tried[shard], a.upstream.leaf)
	q.attempts = append(q.attempts, a)
	return a, denialNone
}

func (q *query) send(shard int, a *attempt) {
	q.course.OnSent(shard, q.gate.config.Now())
	request := q.in.request
	request.Meter, request.MaxAnswer = q.meter, partLimit(q.in.route.TopRecords())
	request.Deadline = time.Now().Add(q.course.AttemptDeadline(shard, q.gate.config.Now()) - q.gate.config.Now())
	a.ticket = a.upstream.pool.Start(&request, func(result exchanger.Result) {
		q.ends <- exchangeEnd{shard: shard, attempt: a, result: result}
	})
}
