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
		Attempt    uint64
		Reason     string
		Overload   bool
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
	q.limits.Idempotent = false
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
	if reply.Overload {
		q.tools.Budget.OnOverload(now)
	}
	if reply.LeafFaulty {
		q.tools.Chooser.OnFault(leaf, now)
	}
	if reply.WrongPlan {
		shard.barred[leaf] = true
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
