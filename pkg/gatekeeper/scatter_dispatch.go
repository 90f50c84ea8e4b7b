package gatekeeper

import (
	"time"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/retrier"
	"lovagedeck/pkg/splitter"
)

// dispatchAll sends the first attempt of each shard. It selects the leafs for all shards before it sends anything, because the
// number of attempts expected in time decides their deadlines, and whether a shard can be left out if all its leafs are at their
// concurrency limit. If too few shards for an answer have a leaf that takes the request, it sends nothing and returns false.
func (q *query) dispatchAll() bool {
	groups := q.groupByGatherer()
	if q.turnAway(groups) {
		return false
	}
	q.gate.fleet.count(q.in, q.localServices(groups))
	if !q.canBePermitted() {
		return false
	}
	placed, enough := q.placeAll(groups)
	enough = enough && q.reservePermits(placed, q.minPlaced(groups))
	if !enough {
		q.releaseUnsent()
		return false
	}
	q.delegate(groups)
	q.sendAll(placed)
	return true
}

// sendAll sends the placed attempts of the shards that this instance gathers.
func (q *query) sendAll(placed []*attempt) {
	expectedInTime := 0
	for shard := range q.shards {
		switch a := placed[shard]; {
		case q.delegated[shard] != nil:
			expectedInTime++
		case a == nil:
			q.execution.OnDenied(shard, q.gate.config.Now())
		case a.startedAt+a.expectedDuration <= q.plan.SoftDeadline:
			expectedInTime++
		}
	}
	q.execution.SetExpectedParts(expectedInTime)
	for shard, a := range placed {
		if a != nil {
			q.send(shard, a)
		}
	}
}

// placeAll selects a leaf for each shard that this instance gathers. It selects leafs at their concurrency limit only if the
// answer would otherwise lack too many shards. It reports whether the placed and delegated shards are enough for an answer.
func (q *query) placeAll(groups map[string][]int) (placed []*attempt, enough bool) {
	placed = make([]*attempt, len(q.shards))
	local, minPlaced := q.localShards(groups), q.minPlaced(groups)
	placedCount := q.placeUnplaced(placed, local, selectWithinLimit)
	if placedCount < minPlaced {
		placedCount += q.placeUnplaced(placed, local, selectAny)
	}
	return placed, placedCount >= minPlaced
}

// minPlaced returns how many of the shards that this instance gathers an answer needs if it gets the parts of all others.
func (q *query) minPlaced(groups map[string][]int) int {
	return q.in.route.MinParts() - (len(q.shards) - len(q.localShards(groups)))
}

// placeUnplaced selects a leaf for each of the shards that has none yet, and returns the number of shards it placed.
func (q *query) placeUnplaced(placed []*attempt, shards []int, selection leafSelection) int {
	placedCount := 0
	for _, shard := range shards {
		if placed[shard] != nil {
			continue
		}
		if placed[shard], _ = q.place(shard, selection); placed[shard] != nil {
			placedCount++
		}
	}
	return placedCount
}

// releaseUnsent abandons attempts that were placed but not sent.
func (q *query) releaseUnsent() {
	for _, a := range q.inFlight {
		q.gate.fleet.abandon(a, retrier.NotSent)
	}
	q.inFlight = nil
}

// dispatch selects a leaf of the shard and sends it the request, as a hedge, as a retry or, if there was no attempt, as the first.
func (q *query) dispatch(shard int, selection leafSelection) {
	a, reason := q.place(shard, selection)
	if a == nil {
		q.onDenied(shard, selection, reason)
		return
	}
	switch {
	case selection == selectAny:
		q.gate.logExtraAttempt(q.in, a, "retry", "the attempt before brought no part")
	case q.execution.Attempts(shard) > 0:
		q.gate.counters.hedges.Inc()
		q.gate.logExtraAttempt(q.in, a, "hedge", "the first leaf is late")
	}
	q.send(shard, a)
}

// onDenied schedules the shard for another attempt after a backoff. It marks the shard as lost if the rate limits of its leafs
// leave no room, if the caller does not hold its key any more, or if no leaf is left and all leafs tried may have run the request.
func (q *query) onDenied(shard int, selection leafSelection, reason denial) {
	if (reason == denialRateLimit || reason == denialRest || reason == denialKey) && q.execution.InFlight(shard) == 0 {
		q.execution.OnExhausted(shard)
		return
	}
	if selection == selectAny && reason == denialNoLeaf && len(q.tried[shard]) == len(q.mayHaveRun[shard]) {
		q.execution.OnExhausted(shard)
		return
	}
	q.execution.OnDenied(shard, q.gate.config.Now())
}

// hedgeSelection returns which leafs may be selected for a hedge: only healthy ones, or all below their concurrency limit if the
// answer is overdue and still lacks required shards.
func (q *query) hedgeSelection(now time.Duration) leafSelection {
	if q.execution.IsOverdue(now) {
		return selectWithinLimit
	}
	return selectHealthy
}

// place begins an attempt at a leaf of the shard without sending it, or returns the reason why none can begin.
func (q *query) place(shard int, selection leafSelection) (*attempt, denial) {
	if q.gate.keyStateOf(q.in.identity, q.in.version) != keyHeld {
		return nil, denialKey
	}
	a, reason := q.gate.fleet.newAttempt(q.in, q.shards[shard], q.tried[shard], selection, q.reached[shard], &q.courses[shard], nil)
	q.gate.counters.countDenial(reason)
	if a == nil {
		if reason == denialBudget {
			q.overBudget++
		}
		return nil, reason
	}
	if a.isExtra {
		q.extraAttempts++
	}
	a.shard = shard
	if a.course.Side() == splitter.New && len(q.newVersions) < maxLoggedMissing {
		q.newVersions = append(q.newVersions, q.shards[shard]+"("+a.version+": "+string(a.course.Reason())+")")
	}
	q.tried[shard] = append(q.tried[shard], a.upstream.leaf)
	q.inFlight = append(q.inFlight, a)
	return a, denialNone
}

func (q *query) send(shard int, a *attempt) {
	q.execution.OnSent(shard, q.gate.config.Now())
	request := q.in.request
	request.Quota, request.MaxResponseBytes = q.quota, maxPartBytes(q.in.route.TopRecords())
	request.Deadline = time.Now().Add(q.execution.AttemptDeadline(shard, q.gate.config.Now()) - q.gate.config.Now())
	start := a.upstream.pool.Start
	if a.hasPermit {
		start = a.upstream.pool.StartPermitted
	}
	a.exchange = start(&request, func(result exchanger.Result) {
		q.completions <- completion{shard: shard, attempt: a, result: result}
	})
}
