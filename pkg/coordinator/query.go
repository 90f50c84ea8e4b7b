// Query is the state of one query. The caller of this package feeds it
// replies and the time, and carries out the actions it returns.

package coordinator

import (
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/chooser"
	"lovagedeck/pkg/hedger"
)

const (
	maxAttemptsPerShard = 6
	retryPause          = 8 * time.Millisecond
	answerMargin        = 2 * time.Millisecond
	// ReasonNoReplica says that no replica of the shard takes work.
	ReasonNoReplica = "no-replica"
	// ReasonDeadline says that the deadline came first.
	ReasonDeadline = "deadline"
	// ReasonNotAwaited says that the query ended before the shard did, since its minimum coverage was out of reach.
	ReasonNotAwaited = "not-awaited"
	// ReasonVersionGone says that no replica holds the pinned version any longer.
	ReasonVersionGone = "version-gone"
	// ReasonMayHaveRun says that the request may have run and must not be sent again.
	ReasonMayHaveRun = "may-have-run"
	// ReasonWrongAnswer says that the leaf answered for another version or shard.
	ReasonWrongAnswer = "wrong-answer"
)

type (
	// Action is what the caller of this package carries out; it is Ask, Cancel, Finish or StartOver.
	Action interface {
		isAction()
	}

	// Ask sends one request to a leaf.
	Ask struct {
		Attempt  uint64
		Leaf     assigner.LeafID
		Shard    Shard
		Version  Version
		Deadline time.Duration
		Hedge    bool
	}

	// Cancel gives up one request.
	Cancel struct {
		Attempt uint64
		Leaf    assigner.LeafID
	}

	// Finish ends the query.
	Finish struct {
		Answer Answer
	}

	// StartOver asks for a new plan, since the pinned version has gone.
	StartOver struct{}

	// Reply is the end of one request; it is Hit, NotRun or Unknown.
	Reply interface {
		attempt() uint64
	}

	// Hit is the answer of a leaf.
	Hit struct {
		Attempt uint64
		Version Version
		Shard   int
		Body    []byte
		Timing  Timing
	}

	// NotRun says that no leaf started the request.
	NotRun struct {
		Attempt uint64
		Reason  string
		// Overload says that the leaf had no room for the request in time.
		Overload bool
		// Sustained says that the leaf sheds load or has raised its threshold.
		Sustained  bool
		WrongPlan  bool
		LeafFaulty bool
		Timing     Timing
	}

	// Unknown says that the leaf may have run the request.
	Unknown struct {
		Attempt uint64
		Reason  string
		Timing  Timing
	}

	// Limits are the bounds of one query.
	Limits struct {
		Deadline     time.Duration
		MinCoverage  float64
		HedgePercent float64
		Idempotent   bool
	}

	// Tools are the shared decisions that a query uses.
	Tools struct {
		Chooser   *chooser.Chooser
		Budget    *hedger.Budget
		Quantile  *hedger.Quantile
		NoHedges  bool
		NextID    func() uint64
		SendLimit time.Duration
		// Avoid tells whether the owner of a leaf is unlikely to answer; such a leaf is asked last.
		Avoid func(leaf assigner.LeafID) bool
	}

	// Query decides the course of one query; it belongs to one goroutine at a time.
	Query struct {
		limits    Limits
		tools     Tools
		plan      Plan
		shards    []shardState
		byAttempt map[uint64]int
		records   []AttemptRecord
		recordOf  map[uint64]int
		answered  int
		given     int
		mayRun    bool
		gone      bool
		done      bool
		restarts  int
	}

	shardState struct {
		live     map[uint64]assigner.LeafID
		tries    map[assigner.LeafID]int
		attempts int
		body     []byte
		answered bool
		givenUp  bool
		reason   string
		hedgeAt  time.Duration
		retryAt  time.Duration
		barred   map[assigner.LeafID]bool
	}
)

func (Ask) isAction()       {}
func (Cancel) isAction()    {}
func (Finish) isAction()    {}
func (StartOver) isAction() {}

func (r Hit) attempt() uint64     { return r.Attempt }
func (r NotRun) attempt() uint64  { return r.Attempt }
func (r Unknown) attempt() uint64 { return r.Attempt }

// NewQuery returns the query for a plan.
func NewQuery(plan Plan, limits Limits, tools Tools) *Query {
	query := &Query{limits: limits, tools: tools, recordOf: map[uint64]int{}}
	query.setPlan(plan)
	return query
}

// Begin sends the first requests.
func (q *Query) Begin(now time.Duration) []Action {
	var actions []Action
	for i := range q.shards {
		q.tools.Budget.OnRequest(q.limits.HedgePercent)
		actions = append(actions, q.ask(i, AttemptFirst, now)...)
	}
	return append(actions, q.conclude(now)...)
}

// Restart begins again with a newer plan after StartOver.
func (q *Query) Restart(plan Plan, now time.Duration) []Action {
	actions := q.cancelAll(now)
	q.restarts++
	q.setPlan(plan)
	return append(actions, q.Begin(now)...)
}

// Newer tells whether a plan is of a later version than the pinned one.
func (q *Query) Newer(plan Plan) bool { return q.plan.Version.before(plan.Version) }

// GiveUpRestart ends the query where no newer plan exists.
func (q *Query) GiveUpRestart(now time.Duration) []Action {
	q.gone = false
	return q.conclude(now)
}

// OnReply takes the end of one request; a reply to a request that is not outstanding changes nothing.
func (q *Query) OnReply(reply Reply, now time.Duration) []Action {
	index, ok := q.byAttempt[reply.attempt()]
	if !ok || q.done {
		return nil
	}
	shard := &q.shards[index]
	leaf, live := shard.live[reply.attempt()]
	if !live {
		return nil
	}
	delete(shard.live, reply.attempt())
	q.tools.Chooser.OnEnded(leaf)
	var actions []Action
	switch r := reply.(type) {
	case Hit:
		actions = q.onHit(index, leaf, r, now)
	case NotRun:
		q.note(r.Attempt, now, "not-run: "+r.Reason, r.Timing)
		actions = q.onNotRun(index, leaf, r, now)
	case Unknown:
		q.note(r.Attempt, now, "unknown: "+r.Reason, r.Timing)
		q.mayRun = true
		q.tools.Chooser.OnFault(leaf, now)
		actions = q.onUnknown(index, r.Reason, now)
	}
	return append(actions, q.conclude(now)...)
}

// OnTime sends hedges and postponed retries that are due and ends the query at its deadline.
func (q *Query) OnTime(now time.Duration) []Action {
	if q.done {
		return nil
	}
	if now >= q.limits.Deadline-answerMargin {
		return q.finish(now)
	}
	var actions []Action
	for i := range q.shards {
		actions = append(actions, q.onTimeShard(i, now)...)
	}
	return append(actions, q.conclude(now)...)
}

// Done tells whether the query has ended, so that OnTime need not be called again.
func (q *Query) Done() bool { return q.done }

// Wake returns when OnTime should be called next.
func (q *Query) Wake() time.Duration {
	wake := q.limits.Deadline - answerMargin
	for i := range q.shards {
		shard := &q.shards[i]
		if shard.answered || shard.givenUp {
			continue
		}
		if shard.retryAt > 0 {
			wake = min(wake, shard.retryAt)
		}
		if shard.hedgeAt > 0 && len(shard.live) == 1 {
			wake = min(wake, shard.hedgeAt)
		}
	}
	return wake
}

// Abandon cancels everything after the caller has gone.
func (q *Query) Abandon(now time.Duration) []Action {
	if q.done {
		return nil
	}
	q.done = true
	return q.cancelAll(now)
}

func (q *Query) setPlan(plan Plan) {
	q.plan = plan
	q.shards = make([]shardState, len(plan.Shards))
	q.byAttempt = make(map[uint64]int, len(plan.Shards))
	q.answered, q.given, q.gone = 0, 0, false
	for i := range q.shards {
		q.shards[i] = shardState{
			live: map[uint64]assigner.LeafID{}, tries: map[assigner.LeafID]int{}, barred: map[assigner.LeafID]bool{},
		}
	}
}

func (q *Query) onHit(index int, leaf assigner.LeafID, hit Hit, now time.Duration) []Action {
	shard := &q.shards[index]
	q.mayRun = true
	if hit.Version != q.plan.Version || hit.Shard != q.plan.Shards[index].Shard.Number {
		q.note(hit.Attempt, now, ReasonWrongAnswer, hit.Timing)
		q.tools.Chooser.OnFault(leaf, now)
		shard.barred[leaf] = true
		return q.onUnknown(index, ReasonWrongAnswer, now)
	}
	q.note(hit.Attempt, now, "answered", hit.Timing)
	latency := now - q.records[q.recordOf[hit.Attempt]].Sent
	q.tools.Chooser.OnAnswer(leaf, latency, now)
	q.tools.Quantile.Add(latency)
	if shard.answered {
		return nil
	}
	if shard.givenUp {
		shard.givenUp = false
		q.given--
	}
	shard.answered = true
	shard.body = hit.Body
	q.answered++
	return q.cancelShard(shard, now)
}

func (q *Query) onNotRun(index int, leaf assigner.LeafID, reply NotRun, now time.Duration) []Action {
	shard := &q.shards[index]
	if reply.Sustained {
		q.tools.Budget.OnOverload(now)
	}
	if reply.LeafFaulty {
		q.tools.Chooser.OnFault(leaf, now)
	}
	if reply.WrongPlan {
		shard.barred[leaf] = true
	}
	if q.records[q.recordOf[reply.Attempt]].Kind == AttemptHedge {
		q.onHedgeRefused(shard, leaf, now)
	}
	if len(shard.live) > 0 || shard.answered {
		return nil
	}
	shard.reason = reply.Reason
	if q.allBarred(index) {
		q.gone = true
		q.giveUp(shard, ReasonVersionGone)
		return nil
	}
	return q.askAgain(index, reply.Overload, reply.Overload, now)
}

// onHedgeRefused takes the token back, and lets a hedge be tried again a little later.
func (q *Query) onHedgeRefused(shard *shardState, leaf assigner.LeafID, now time.Duration) {
	q.tools.Budget.ReturnHedge()
	shard.tries[leaf]--
	shard.hedgeAt = now + retryPause
}

func (q *Query) onUnknown(index int, reason string, now time.Duration) []Action {
	shard := &q.shards[index]
	if len(shard.live) > 0 || shard.answered {
		return nil
	}
	shard.reason = reason
	if !q.limits.Idempotent {
		q.giveUp(shard, ReasonMayHaveRun)
		return nil
	}
	return q.askAgain(index, false, true, now)
}

func (q *Query) onTimeShard(index int, now time.Duration) []Action {
	shard := &q.shards[index]
	if shard.answered || shard.givenUp {
		return nil
	}
	if shard.retryAt > 0 && now >= shard.retryAt {
		shard.retryAt = 0
		return q.ask(index, AttemptRetry, now)
	}
	if shard.hedgeAt == 0 || now < shard.hedgeAt || len(shard.live) != 1 {
		return nil
	}
	shard.hedgeAt = 0
	return q.hedge(index, now)
}
