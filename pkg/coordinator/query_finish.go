package coordinator

import (
	"time"
)

func (q *Query) giveUp(shard *shardState, reason string) {
	if shard.givenUp || shard.answered {
		return
	}
	shard.givenUp = true
	shard.reason = reason
	q.given++
}

// conclude ends the query when nothing more can come or the minimum coverage is out of reach.
func (q *Query) conclude(now time.Duration) []Action {
	if q.done {
		return nil
	}
	if q.gone && q.limits.Idempotent {
		return []Action{StartOver{}}
	}
	if q.answered+q.given == len(q.shards) || !q.reachable() {
		return q.finish(now)
	}
	return nil
}

func (q *Query) reachable() bool {
	best := float64(len(q.shards)-q.given) / float64(max(1, len(q.shards)))
	return best >= q.limits.MinCoverage
}

func (q *Query) finish(now time.Duration) []Action {
	outstanding := q.outstanding()
	actions := q.cancelAll(now)
	q.done = true
	answer := Answer{
		Version: q.plan.Version, Answered: q.answered, Total: len(q.shards), Attempts: q.records, Restarts: q.restarts,
	}
	for i := range q.shards {
		q.fill(&answer, i, now >= q.limits.Deadline-answerMargin)
	}
	answer.Outcome = q.outcome(answer, outstanding)
	if answer.Outcome != OutcomeComplete {
		answer.Reason = mainReason(answer.Missing)
	}
	return append(actions, Finish{Answer: answer})
}

func (q *Query) fill(answer *Answer, index int, atDeadline bool) {
	shard := &q.shards[index]
	name := q.plan.Shards[index].Shard
	if shard.answered {
		answer.Parts = append(answer.Parts, Part{Shard: name, Body: shard.body})
		return
	}
	reason := shard.reason
	if !shard.givenUp || reason == "" {
		reason = ReasonNotAwaited
		if atDeadline {
			reason = ReasonDeadline
		}
	}
	answer.Missing = append(answer.Missing, MissingShard{Shard: name, Reason: reason})
}

// mainReason returns the reason of the first shard that was given up, else that of the first missing one.
func mainReason(missing []MissingShard) string {
	for _, m := range missing {
		if m.Reason != ReasonNotAwaited {
			return m.Reason
		}
	}
	return ReasonNotAwaited
}

func (q *Query) outcome(answer Answer, outstanding int) Outcome {
	if answer.Total > 0 && answer.Answered == answer.Total {
		return OutcomeComplete
	}
	if answer.Answered > 0 && answer.Coverage() >= q.limits.MinCoverage {
		return OutcomePartial
	}
	if !q.mayRun && outstanding == 0 {
		return OutcomeRefused
	}
	return OutcomeFailed
}

func (q *Query) outstanding() int {
	count := 0
	for i := range q.shards {
		count += len(q.shards[i].live)
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
	for id, leaf := range shard.live {
		q.mayRun = true
		q.tools.Chooser.OnEnded(leaf)
		q.tools.Chooser.OnLate(leaf, now-q.records[q.recordOf[id]].Sent, now)
		q.note(id, now, "cancelled", Timing{})
		actions = append(actions, Cancel{Attempt: id, Leaf: leaf})
	}
	clear(shard.live)
	return actions
}

func (q *Query) note(id uint64, now time.Duration, result string, timing Timing) {
	record := &q.records[q.recordOf[id]]
	record.Ended = now
	record.Result = result
	record.Timing = timing
}
