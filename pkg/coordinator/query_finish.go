package coordinator

import (
	"time"
)

func (q *Query) giveUpShard(shard *shardState, reason string) {
	if shard.isGivenUp || shard.isAnswered {
		return
	}
	shard.isGivenUp = true
	shard.reason = reason
	q.givenUpCount++
}

// finishIfDecided ends the query if every shard has answered or been given up, or if the minimum coverage can no longer
// be reached. It requests a new plan instead if the planned version is gone and the query is idempotent.
func (q *Query) finishIfDecided(now time.Duration) []Action {
	if q.done {
		return nil
	}
	if q.needsReplan && q.limits.Idempotent {
		return []Action{Replan{}}
	}
	if q.answeredCount+q.givenUpCount == len(q.shards) || !q.canReachCoverage() {
		return q.finish(now)
	}
	return nil
}

func (q *Query) canReachCoverage() bool {
	bestCoverage := float64(len(q.shards)-q.givenUpCount) / float64(max(1, len(q.shards)))
	return bestCoverage >= q.limits.MinCoverage
}

func (q *Query) finish(now time.Duration) []Action {
	inFlight := q.countInFlight()
	actions := q.cancelAll(now)
	q.done = true
	answer := Answer{
		Version: q.plan.Version, Answered: q.answeredCount, Total: len(q.shards), Attempts: q.attempts, Restarts: q.restarts,
	}
	for i := range q.shards {
		q.addShard(&answer, i, now >= q.limits.Deadline-answerMargin)
	}
	answer.Outcome = q.outcome(answer, inFlight)
	if answer.Outcome != OutcomeComplete {
		answer.Reason = mainReason(answer.Missing)
	}
	return append(actions, Finish{Answer: answer})
}

func (q *Query) addShard(answer *Answer, shardIndex int, atDeadline bool) {
	shard := &q.shards[shardIndex]
	shardName := q.plan.Shards[shardIndex].Shard
	if shard.isAnswered {
		answer.Parts = append(answer.Parts, Part{Shard: shardName, Body: shard.body})
		return
	}
	reason := shard.reason
	if !shard.isGivenUp || reason == "" {
		reason = ReasonNotAwaited
		if atDeadline {
			reason = ReasonDeadline
		}
	}
	answer.Missing = append(answer.Missing, MissingShard{Shard: shardName, Reason: reason})
}

// mainReason returns the first reason other than ReasonNotAwaited, or ReasonNotAwaited if there is none.
func mainReason(missing []MissingShard) string {
	for _, m := range missing {
		if m.Reason != ReasonNotAwaited {
			return m.Reason
		}
	}
	return ReasonNotAwaited
}

func (q *Query) outcome(answer Answer, inFlight int) Outcome {
	if answer.Total > 0 && answer.Answered == answer.Total {
		return OutcomeComplete
	}
	if answer.Answered > 0 && answer.Coverage() >= q.limits.MinCoverage {
		return OutcomePartial
	}
	if !q.mayHaveRun && inFlight == 0 {
		return OutcomeRefused
	}
	return OutcomeFailed
}

func (q *Query) countInFlight() int {
	count := 0
	for i := range q.shards {
		count += len(q.shards[i].inFlight)
	}
	return count
}

func (q *Query) cancelAll(now time.Duration) []Action {
	var actions []Action
	for i := range q.shards {
		actions = append(actions, q.cancelShard(&q.shards[i], now)...)
	}
	return actions
}

func (q *Query) cancelShard(shard *shardState, now time.Duration) []Action {
	var actions []Action
	for id, leaf := range shard.inFlight {
		q.mayHaveRun = true
		q.deps.Chooser.OnEnded(leaf)
		q.deps.Chooser.OnCancelled(leaf, now-q.attempts[q.attemptIndex[id]].Sent, now)
		q.recordEnd(id, now, "cancelled", Timing{})
		actions = append(actions, Cancel{Attempt: id, Leaf: leaf})
	}
	clear(shard.inFlight)
	return actions
}

func (q *Query) recordEnd(id uint64, now time.Duration, result string, timing Timing) {
	record := &q.attempts[q.attemptIndex[id]]
	record.Ended = now
	record.Result = result
	record.Timing = timing
}
