// Query is the state machine of one query. It does no I/O and reads no clock:
// its caller passes in replies and the current time, and carries out the
// actions that it returns.

package coordinator

import (
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/chooser"
	"lovagedeck/pkg/hedger"
)

const (
	maxAttemptsPerShard = 6
	retryDelay          = 8 * time.Millisecond
	// answerMargin is how long before its deadline a query ends, to leave time for returning the answer.
	answerMargin = 2 * time.Millisecond
	// ReasonNoReplica means that no replica of the shard accepts requests.
	ReasonNoReplica = "no-replica"
	// ReasonDeadline means that the deadline passed before the shard answered.
	ReasonDeadline = "deadline"
	// ReasonNotAwaited means that the query ended before the shard answered, because its minimum coverage could no longer
	// be reached.
	ReasonNotAwaited = "not-awaited"
	// ReasonVersionGone means that no replica holds the planned version any longer.
	ReasonVersionGone = "version-gone"
	// ReasonMayHaveRun means that the request may have run and is not retried because it is not idempotent.
	ReasonMayHaveRun = "may-have-run"
	// ReasonShuttingDown means that the instance stopped before the shard answered.
	ReasonShuttingDown = "shutting-down"
	// ReasonWrongAnswer means that the leaf answered for another version or shard than requested.
	ReasonWrongAnswer = "wrong-answer"
)

type (
	// Action is a step that the caller of a Query must carry out: Send, Cancel, Finish or Replan.
	Action interface {
		isAction()
	}

	// Send sends one request to a leaf.
	Send struct {
		Attempt uint64
		Leaf    assigner.LeafID
		Shard   Shard
		Version Version
		// Deadline is the time by which the leaf must have answered.
		Deadline time.Duration
		IsHedge  bool
	}

	// Cancel cancels one request in flight.
	Cancel struct {
		Attempt uint64
		Leaf    assigner.LeafID
	}

	// Finish ends the query with its answer.
	Finish struct {
		Answer Answer
	}

	// Replan requests a plan of a newer version, because no replica of a shard holds the planned one any longer. The
	// caller answers it with Restart or KeepPlan.
	Replan struct{}

	// Reply is the result of one request: Success, NotRun or UnknownOutcome.
	Reply interface {
		attempt() uint64
	}

	// Success is an answer with the partial result of a leaf.
	Success struct {
		Attempt uint64
		Version Version
		Shard   int
		Body    []byte
		Timing  Timing
	}

	// NotRun means that no leaf has run the request, so that it may be retried.
	NotRun struct {
		Attempt uint64
		Reason  string
		// IsOverload means that the leaf had no capacity for the request before its deadline.
		IsOverload bool
		// IsSustainedOverload means that the leaf shed the request or its overload threshold is raised, which pauses hedging.
		IsSustainedOverload bool
		// IsVersionGone means that the leaf no longer holds the requested version.
		IsVersionGone bool
		// IsLeafFault means that the leaf caused the failure, which counts towards its ejection.
		IsLeafFault bool
		Timing      Timing
	}

	// UnknownOutcome means that the request failed and the leaf may have run it.
	UnknownOutcome struct {
		Attempt uint64
		Reason  string
		Timing  Timing
	}

	// Limits are the constraints of one query.
	Limits struct {
		Deadline time.Duration
		// MinCoverage is the share of shards, 0 to 1, that a partial answer needs.
		MinCoverage float64
		// HedgePercent is the number of hedges allowed per 100 first attempts.
		HedgePercent float64
		// Idempotent allows hedges, and retries of requests that may have run.
		Idempotent bool
	}

	// Dependencies are what a query shares with other queries.
	Dependencies struct {
		Chooser *chooser.Chooser
		Budget  *hedger.Budget
		// Quantile tracks the latency after which a hedge is sent.
		Quantile       *hedger.Quantile
		DisablesHedges bool
		// NextAttemptID returns a new identifier for an attempt.
		NextAttemptID func() uint64
		// AttemptTimeout is the longest time that one attempt may take.
		AttemptTimeout time.Duration
		// ShouldAvoid reports whether the owner of a leaf is unlikely to answer, so that the leaf is used only as a last resort.
		// It may be nil.
		ShouldAvoid func(leaf assigner.LeafID) bool
	}

	// Query decides which requests of one query are sent, retried, hedged and cancelled; it is not safe for concurrent use.
	Query struct {
		limits         Limits
		deps           Dependencies
		plan           Plan
		shards         []shardState
		shardOfAttempt map[uint64]int
		attempts       []AttemptRecord
		attemptIndex   map[uint64]int
		answeredCount  int
		givenUpCount   int
		mayHaveRun     bool
		needsReplan    bool
		done           bool
		restarts       int
	}

	shardState struct {
		inFlight        map[uint64]assigner.LeafID
		attemptsPerLeaf map[assigner.LeafID]int
		attemptCount    int
		body            []byte
		isAnswered      bool
		isGivenUp       bool
		reason          string
		hedgeAt         time.Duration
		retryAt         time.Duration
		// excluded holds the leafs that answered for another version or shard, or no longer hold the version.
		excluded map[assigner.LeafID]bool
	}
)

func (Send) isAction()   {}
func (Cancel) isAction() {}
func (Finish) isAction() {}
func (Replan) isAction() {}

func (r Success) attempt() uint64        { return r.Attempt }
func (r NotRun) attempt() uint64         { return r.Attempt }
func (r UnknownOutcome) attempt() uint64 { return r.Attempt }

// NewQuery returns a query that runs the given plan.
func NewQuery(plan Plan, limits Limits, deps Dependencies) *Query {
	query := &Query{limits: limits, deps: deps, attemptIndex: map[uint64]int{}}
	query.setPlan(plan)
	return query
}

// Start sends the first request for each shard.
func (q *Query) Start(now time.Duration) []Action {
	var actions []Action
	for i := range q.shards {
		q.deps.Budget.OnRequest(q.limits.HedgePercent)
		actions = append(actions, q.send(i, AttemptFirst, now)...)
	}
	return append(actions, q.finishIfDecided(now)...)
}

// Restart cancels all requests in flight and starts again with a newer plan, after a Replan action.
func (q *Query) Restart(plan Plan, now time.Duration) []Action {
	actions := q.cancelAll(now)
	q.restarts++
	q.setPlan(plan)
	return append(actions, q.Start(now)...)
}

// IsNewer reports whether the plan is of a later version than the current one.
func (q *Query) IsNewer(plan Plan) bool { return q.plan.Version.isOlderThan(plan.Version) }

// KeepPlan continues with the current plan after a Replan action for which there is no newer plan.
func (q *Query) KeepPlan(now time.Duration) []Action {
	q.needsReplan = false
	return q.finishIfDecided(now)
}

// OnReply processes the reply to one request; a reply to a request that is not in flight is ignored.
func (q *Query) OnReply(reply Reply, now time.Duration) []Action {
	shardIndex, ok := q.shardOfAttempt[reply.attempt()]
	if !ok || q.done {
		return nil
	}
	shard := &q.shards[shardIndex]
	leaf, isInFlight := shard.inFlight[reply.attempt()]
	if !isInFlight {
		return nil
	}
	delete(shard.inFlight, reply.attempt())
	q.deps.Chooser.OnEnded(leaf)
	var actions []Action
	switch r := reply.(type) {
	case Success:
		actions = q.onSuccess(shardIndex, leaf, r, now)
	case NotRun:
		q.recordEnd(r.Attempt, now, "not-run: "+r.Reason, r.Timing)
		actions = q.onNotRun(shardIndex, leaf, r, now)
	case UnknownOutcome:
		q.recordEnd(r.Attempt, now, "unknown: "+r.Reason, r.Timing)
		q.mayHaveRun = true
		q.deps.Chooser.OnError(leaf, now)
		actions = q.onUnknownOutcome(shardIndex, r.Reason, now)
	}
	return append(actions, q.finishIfDecided(now)...)
}

// OnTimer sends the hedges and retries that are due, and ends the query at its deadline.
func (q *Query) OnTimer(now time.Duration) []Action {
	if q.done {
		return nil
	}
	if now >= q.limits.Deadline-answerMargin {
		return q.finish(now)
	}
	var actions []Action
	for i := range q.shards {
		actions = append(actions, q.onTimerShard(i, now)...)
	}
	return append(actions, q.finishIfDecided(now)...)
}

// Done reports whether the query has ended, after which OnTimer need not be called again.
func (q *Query) Done() bool { return q.done }

// WakeAt returns the time at which OnTimer is next due.
func (q *Query) WakeAt() time.Duration {
	next := q.limits.Deadline - answerMargin
	for i := range q.shards {
		shard := &q.shards[i]
		if shard.isAnswered || shard.isGivenUp {
			continue
		}
		if shard.retryAt > 0 {
			next = min(next, shard.retryAt)
		}
		if shard.hedgeAt > 0 && len(shard.inFlight) == 1 {
			next = min(next, shard.hedgeAt)
		}
	}
	return next
}

// Abandon ends the query without an answer and cancels all requests in flight, after the caller has disconnected.
func (q *Query) Abandon(now time.Duration) []Action {
	if q.done {
		return nil
	}
	q.done = true
	return q.cancelAll(now)
}

// End ends the query with the answers that have arrived, because its instance stops.
func (q *Query) End(now time.Duration) []Action {
	if q.done {
		return nil
	}
	for i := range q.shards {
		q.giveUpShard(&q.shards[i], ReasonShuttingDown)
	}
	return q.finish(now)
}

func (q *Query) setPlan(plan Plan) {
	q.plan = plan
	q.shards = make([]shardState, len(plan.Shards))
	q.shardOfAttempt = make(map[uint64]int, len(plan.Shards))
	q.answeredCount, q.givenUpCount, q.needsReplan = 0, 0, false
	for i := range q.shards {
		q.shards[i] = shardState{
			inFlight: map[uint64]assigner.LeafID{}, attemptsPerLeaf: map[assigner.LeafID]int{}, excluded: map[assigner.LeafID]bool{},
		}
	}
}

func (q *Query) onSuccess(shardIndex int, leaf assigner.LeafID, reply Success, now time.Duration) []Action {
	shard := &q.shards[shardIndex]
	q.mayHaveRun = true
	if reply.Version != q.plan.Version || reply.Shard != q.plan.Shards[shardIndex].Shard.Number {
		q.recordEnd(reply.Attempt, now, ReasonWrongAnswer, reply.Timing)
		q.deps.Chooser.OnError(leaf, now)
		shard.excluded[leaf] = true
		return q.onUnknownOutcome(shardIndex, ReasonWrongAnswer, now)
	}
	q.recordEnd(reply.Attempt, now, "answered", reply.Timing)
	latency := now - q.attempts[q.attemptIndex[reply.Attempt]].Sent
	q.deps.Chooser.OnAnswer(leaf, latency, now)
	q.deps.Quantile.Add(latency)
	if shard.isAnswered {
		return nil
	}
	if shard.isGivenUp {
		shard.isGivenUp = false
		q.givenUpCount--
	}
	shard.isAnswered = true
	shard.body = reply.Body
	q.answeredCount++
	return q.cancelShard(shard, now)
}

func (q *Query) onNotRun(shardIndex int, leaf assigner.LeafID, reply NotRun, now time.Duration) []Action {
	shard := &q.shards[shardIndex]
	if reply.IsSustainedOverload {
		q.deps.Budget.OnOverload(now)
	}
	if reply.IsLeafFault {
		q.deps.Chooser.OnError(leaf, now)
	}
	if reply.IsVersionGone {
		shard.excluded[leaf] = true
	}
	if q.attempts[q.attemptIndex[reply.Attempt]].Kind == AttemptHedge {
		q.onHedgeRefused(shard, leaf, now)
	}
	if len(shard.inFlight) > 0 || shard.isAnswered {
		return nil
	}
	shard.reason = reply.Reason
	if q.allExcluded(shardIndex) {
		q.needsReplan = true
		q.giveUpShard(shard, ReasonVersionGone)
		return nil
	}
	return q.retry(shardIndex, reply.IsOverload, reply.IsOverload, now)
}

// onHedgeRefused returns the budget token of a hedge that did not run and allows another hedge after retryDelay.
func (q *Query) onHedgeRefused(shard *shardState, leaf assigner.LeafID, now time.Duration) {
	q.deps.Budget.ReturnHedge()
	shard.attemptsPerLeaf[leaf]--
	shard.hedgeAt = now + retryDelay
}

// onUnknownOutcome retries an idempotent request that may have run, and gives up the shard otherwise.
func (q *Query) onUnknownOutcome(shardIndex int, reason string, now time.Duration) []Action {
	shard := &q.shards[shardIndex]
	if len(shard.inFlight) > 0 || shard.isAnswered {
		return nil
	}
	shard.reason = reason
	if !q.limits.Idempotent {
		q.giveUpShard(shard, ReasonMayHaveRun)
		return nil
	}
	return q.retry(shardIndex, false, true, now)
}

func (q *Query) onTimerShard(shardIndex int, now time.Duration) []Action {
	shard := &q.shards[shardIndex]
	if shard.isAnswered || shard.isGivenUp {
		return nil
	}
	if shard.retryAt > 0 && now >= shard.retryAt {
		shard.retryAt = 0
		return q.send(shardIndex, AttemptRetry, now)
	}
	if shard.hedgeAt == 0 || now < shard.hedgeAt || len(shard.inFlight) != 1 {
		return nil
	}
	shard.hedgeAt = 0
	return q.sendHedge(shardIndex, now)
}
