package coordinator

import (
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/chooser"
)

func (q *Query) ask(index int, kind AttemptKind, now time.Duration) []Action {
	shard := &q.shards[index]
	leaf, ok := q.pick(index, kind, now)
	if !ok {
		if kind != AttemptHedge && len(shard.live) == 0 {
			q.giveUp(shard, ReasonNoReplica)
		}
		return nil
	}
	id := q.tools.NextID()
	shard.live[id] = leaf
	shard.tries[leaf]++
	shard.attempts++
	shard.retryAt = 0
	shard.hedgeAt = 0
	if kind != AttemptHedge {
		shard.hedgeAt = now + q.tools.Quantile.Value()
	}
	q.byAttempt[id] = index
	q.tools.Chooser.OnSent(leaf)
	q.recordOf[id] = len(q.records)
	q.records = append(q.records, AttemptRecord{
		ID: id, Shard: q.plan.Shards[index].Shard, Leaf: leaf, Kind: kind, Sent: now, Version: q.plan.Version,
	})
	deadline := min(q.limits.Deadline-answerMargin, now+q.tools.SendLimit)
	return []Action{Ask{
		Attempt: id, Leaf: leaf, Shard: q.plan.Shards[index].Shard, Version: q.plan.Version,
		Deadline: deadline, Hedge: kind == AttemptHedge,
	}}
}

// pick returns the replica to ask, among those that were asked least often and whose owner answers.
func (q *Query) pick(index int, kind AttemptKind, now time.Duration) (assigner.LeafID, bool) {
	candidates, avoided := q.candidates(index, kind, now)
	if len(candidates) == 0 && kind != AttemptHedge {
		candidates = avoided
	}
	chosen := q.tools.Chooser.Choose(candidates, now)
	if chosen < 0 {
		return "", false
	}
	return candidates[chosen].Leaf, true
}

func (q *Query) candidates(index int, kind AttemptKind, now time.Duration) (good, avoided []chooser.Candidate) {
	shard := &q.shards[index]
	plan := q.plan.Shards[index]
	fewest := q.fewestTries(index)
	for i, leaf := range plan.Candidates {
		if shard.barred[leaf] || shard.tries[leaf] != fewest {
			continue
		}
		if kind == AttemptHedge && (fewest > 0 || !q.tools.Chooser.Usable(leaf, now)) {
			continue
		}
		candidate := chooser.Candidate{Leaf: leaf, Weight: plan.Weights[i]}
		if q.tools.Avoid != nil && q.tools.Avoid(leaf) {
			avoided = append(avoided, candidate)
			continue
		}
		good = append(good, candidate)
	}
	return good, avoided
}

func (q *Query) fewestTries(index int) int {
	shard := &q.shards[index]
	fewest := maxAttemptsPerShard
	for _, leaf := range q.plan.Shards[index].Candidates {
		if !shard.barred[leaf] {
			fewest = min(fewest, shard.tries[leaf])
		}
	}
	return fewest
}

// askAgain asks another replica at once, or the same ones after a pause. The budget covers what a leaf may receive
// on top; a request that reached no leaf costs the leafs nothing.
func (q *Query) askAgain(index int, overload, reachedLeaf bool, now time.Duration) []Action {
	shard := &q.shards[index]
	if shard.attempts >= maxAttemptsPerShard || (reachedLeaf && !q.tools.Budget.TakeRetry()) {
		q.giveUp(shard, shard.reason)
		return nil
	}
	for _, leaf := range q.plan.Shards[index].Candidates {
		if !shard.barred[leaf] && shard.tries[leaf] == 0 {
			return q.ask(index, AttemptRetry, now)
		}
	}
	if overload || now+retryPause >= q.limits.Deadline-answerMargin {
		q.giveUp(shard, shard.reason)
		return nil
	}
	shard.retryAt = now + retryPause
	return nil
}

func (q *Query) hedge(index int, now time.Duration) []Action {
	if !q.limits.Idempotent || q.tools.NoHedges {
		return nil
	}
	if _, ok := q.pick(index, AttemptHedge, now); !ok {
		return nil
	}
	if !q.tools.Budget.TakeHedge(now) {
		return nil
	}
	return q.ask(index, AttemptHedge, now)
}

func (q *Query) allBarred(index int) bool {
	for _, leaf := range q.plan.Shards[index].Candidates {
		if !q.shards[index].barred[leaf] {
			return false
		}
	}
	return true
}
