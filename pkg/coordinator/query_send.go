package coordinator

import (
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/chooser"
)

// send sends a request for a shard to the replica that is chosen, and gives up the shard if there is none and no request
// for it is in flight.
func (q *Query) send(shardIndex int, kind AttemptKind, now time.Duration) []Action {
	shard := &q.shards[shardIndex]
	leaf, ok := q.chooseReplica(shardIndex, kind, now)
	if !ok {
		if kind != AttemptHedge && len(shard.inFlight) == 0 {
			q.giveUpShard(shard, ReasonNoReplica)
		}
		return nil
	}
	id := q.deps.NextAttemptID()
	shard.inFlight[id] = leaf
	shard.attemptsPerLeaf[leaf]++
	shard.attemptCount++
	shard.retryAt = 0
	shard.hedgeAt = 0
	if kind != AttemptHedge {
		shard.hedgeAt = now + q.deps.Quantile.Value()
	}
	q.shardOfAttempt[id] = shardIndex
	q.deps.Chooser.OnSent(leaf)
	q.attemptIndex[id] = len(q.attempts)
	q.attempts = append(q.attempts, AttemptRecord{
		ID: id, Shard: q.plan.Shards[shardIndex].Shard, Leaf: leaf, Kind: kind, Sent: now, Version: q.plan.Version,
	})
	deadline := min(q.limits.Deadline-answerMargin, now+q.deps.AttemptTimeout)
	return []Action{Send{
		Attempt: id, Leaf: leaf, Shard: q.plan.Shards[shardIndex].Shard, Version: q.plan.Version,
		Deadline: deadline, IsHedge: kind == AttemptHedge,
	}}
}

// chooseReplica chooses among the replicas with the fewest attempts so far. Those whose owner is unlikely to answer are
// used only if there is no other, and never for a hedge.
func (q *Query) chooseReplica(shardIndex int, kind AttemptKind, now time.Duration) (assigner.LeafID, bool) {
	candidates, avoided := q.candidates(shardIndex, kind, now)
	if len(candidates) == 0 && kind != AttemptHedge {
		candidates = avoided
	}
	chosen := q.deps.Chooser.Choose(candidates, now)
	if chosen < 0 {
		return "", false
	}
	return candidates[chosen].Leaf, true
}

func (q *Query) candidates(shardIndex int, kind AttemptKind, now time.Duration) (preferred, avoided []chooser.Candidate) {
	shard := &q.shards[shardIndex]
	plan := q.plan.Shards[shardIndex]
	fewestAttempts := q.minAttempts(shardIndex)
	for i, leaf := range plan.Candidates {
		if shard.excluded[leaf] || shard.attemptsPerLeaf[leaf] != fewestAttempts {
			continue
		}
		if kind == AttemptHedge && (fewestAttempts > 0 || !q.deps.Chooser.AllowsHedge(leaf, now)) {
			continue
		}
		candidate := chooser.Candidate{Leaf: leaf, Weight: plan.Weights[i]}
		if q.deps.ShouldAvoid != nil && q.deps.ShouldAvoid(leaf) {
			avoided = append(avoided, candidate)
			continue
		}
		preferred = append(preferred, candidate)
	}
	return preferred, avoided
}

func (q *Query) minAttempts(shardIndex int) int {
	shard := &q.shards[shardIndex]
	fewestAttempts := maxAttemptsPerShard
	for _, leaf := range q.plan.Shards[shardIndex].Candidates {
		if !shard.excluded[leaf] {
			fewestAttempts = min(fewestAttempts, shard.attemptsPerLeaf[leaf])
		}
	}
	return fewestAttempts
}

// retry sends the request to an untried replica at once, or schedules another attempt after retryDelay. The retry budget
// bounds the additional load on the leafs: a retry needs a token if the request was refused for overload or may have
// run. Other failed requests have added no load.
func (q *Query) retry(shardIndex int, isOverload, needsToken bool, now time.Duration) []Action {
	shard := &q.shards[shardIndex]
	if shard.attemptCount >= maxAttemptsPerShard || (needsToken && !q.deps.Budget.TakeRetry()) {
		q.giveUpShard(shard, shard.reason)
		return nil
	}
	for _, leaf := range q.plan.Shards[shardIndex].Candidates {
		if !shard.excluded[leaf] && shard.attemptsPerLeaf[leaf] == 0 {
			return q.send(shardIndex, AttemptRetry, now)
		}
	}
	if isOverload || now+retryDelay >= q.limits.Deadline-answerMargin {
		q.giveUpShard(shard, shard.reason)
		return nil
	}
	shard.retryAt = now + retryDelay
	return nil
}

func (q *Query) sendHedge(shardIndex int, now time.Duration) []Action {
	if !q.limits.Idempotent || q.deps.DisablesHedges {
		return nil
	}
	if _, ok := q.chooseReplica(shardIndex, AttemptHedge, now); !ok {
		return nil
	}
	if !q.deps.Budget.TakeHedge(now) {
		return nil
	}
	return q.send(shardIndex, AttemptHedge, now)
}

func (q *Query) allExcluded(shardIndex int) bool {
	for _, leaf := range q.plan.Shards[shardIndex].Candidates {
		if !q.shards[shardIndex].excluded[leaf] {
			return false
		}
	}
	return true
}
