// A query that lacks too many shards is of no use, and its requests are wasted
// load on the leafs of the others. It therefore gets the permits that it needs
// before it sends anything.

package gatekeeper

import (
	"time"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/retrier"
)

const (
	// reservationRounds limits how many leafs of a shard are asked for a permit before the query is sent.
	reservationRounds = 2
	// allocatorTimeout is how long a query waits for the answer of an allocator, beyond the time for which a permit may be
	// reserved. It covers a round trip between data centres and a scheduling delay at both ends.
	allocatorTimeout = 20 * time.Millisecond
)

// permitAnswer is the answer to a request for a permit for a shard.
type permitAnswer struct {
	shard       int
	pool        *exchanger.Pool
	isPermitted bool
}

// canBePermitted reports whether the rate limits of the leafs, as far as they are known, leave room for an answer.
func (q *query) canBePermitted() bool {
	return len(q.shards)-q.gate.fleet.countDenied(q.shards) >= q.in.route.MinParts()
}

// reservePermits gets permits for the attempts at rate-limited leafs, unless the other attempts suffice for minPlaced, and
// places attempts without a permit at other leafs. It reports whether at least minPlaced attempts can be sent. Otherwise it
// has given back the permits.
func (q *query) reservePermits(placed []*attempt, minPlaced int) bool {
	for range reservationRounds {
		limited := q.gate.fleet.unpermitted(placed)
		if countAttempts(placed)-len(limited) >= minPlaced {
			return true
		}
		for shard, isPermitted := range q.acquireAll(placed, limited) {
			if isPermitted {
				placed[shard].hasPermit = true
				continue
			}
			q.dropUnpermitted(placed[shard])
			placed[shard], _ = q.place(shard, selectAny)
		}
	}
	for _, shard := range q.gate.fleet.unpermitted(placed) {
		q.dropUnpermitted(placed[shard])
		placed[shard] = nil
	}
	if countAttempts(placed) >= minPlaced {
		return true
	}
	for _, a := range placed {
		if a != nil && a.hasPermit {
			a.upstream.pool.ReturnPermit()
		}
	}
	return false
}

// acquireAll requests the permits for the attempts of the given shards at the same time and waits for them, but not for an
// allocator that does not answer in time.
func (q *query) acquireAll(placed []*attempt, shards []int) map[int]bool {
	answers := make(chan permitAnswer, len(shards))
	permitted := make(map[int]bool, len(shards))
	for _, shard := range shards {
		permitted[shard] = false
		pool := placed[shard].upstream.pool
		pool.AcquirePermit(q.in.request.MaxPermitWait, func(isPermitted bool) {
			answers <- permitAnswer{shard: shard, pool: pool, isPermitted: isPermitted}
		})
	}
	timeout := time.NewTimer(q.in.request.MaxPermitWait + allocatorTimeout)
	defer timeout.Stop()
	for received := range shards {
		select {
		case a := <-answers:
			permitted[a.shard] = a.isPermitted
		case <-q.gate.service.Done():
			go returnLatePermits(answers, len(shards)-received)
			return permitted
		case <-timeout.C:
			go returnLatePermits(answers, len(shards)-received)
			return permitted
		}
	}
	return permitted
}

// returnLatePermits gives back the permits in the given number of answers.
func returnLatePermits(answers <-chan permitAnswer, count int) {
	for range count {
		if a := <-answers; a.isPermitted {
			a.pool.ReturnPermit()
		}
	}
}

// dropUnpermitted ends an attempt that was not sent because it got no permit.
func (q *query) dropUnpermitted(a *attempt) {
	q.gate.fleet.finish(a, placer.NotPermitted, exchanger.Result{Progress: retrier.NotSent})
	q.inFlight = removeAttempt(q.inFlight, a)
	if q.outcomes == nil {
		q.outcomes = map[*placer.Leaf]placer.Outcome{}
	}
	q.outcomes[a.upstream.leaf] = placer.NotPermitted
}

func countAttempts(placed []*attempt) int {
	count := 0
	for _, a := range placed {
		if a != nil {
			count++
		}
	}
	return count
}

// retryAfter returns when a query that the rate limits of leafs left no room for can be repeated, or 0.
func (q *query) retryAfter() time.Duration {
	return q.gate.fleet.retryAfter(q.shards, len(q.shards)-q.in.route.MinParts())
}
