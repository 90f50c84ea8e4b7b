package gatekeeper

import (
	"context"
	"net/http"
	"slices"
	"time"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/gatherer"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/retrier"
	"lovagedeck/pkg/splitter"
)

const (
	// mergeMargin is reserved before the objective for merging and writing an answer, including a short scheduling delay.
	mergeMargin = 5 * time.Millisecond
	// lateAnswerFactor is the number of latency objectives after which a late answer stops waiting for missing shards.
	lateAnswerFactor = 2
	// partRecordRatio is the maximum number of records in a part per record of the answer. Upstreams send about as many records
	// as the answer holds, and some send more.
	partRecordRatio = 64
	// minPartLimit is the lower bound of the size limit of a part, in bytes.
	minPartLimit = 64 << 10
)

type (
	// query is the state of one request that is scattered over the shards of its route. A single goroutine sends, waits and
	// merges. The connection readers pass results to it through the completions channel.
	query struct {
		gate      *Gatekeeper
		in        *inboundRequest
		execution *gatherer.Execution
		// shards holds the service name of each shard. Other fields refer to a shard by its index here.
		shards []string
		// courses decide, by shard, the version of its leaf during a roll-out.
		courses []splitter.Course
		// tried holds, by shard, the leafs that the next attempt must not use.
		tried [][]*placer.Leaf
		// mayHaveRun holds, by shard, the leafs that may have run the request.
		mayHaveRun [][]*placer.Leaf
		// reached marks the shards for which a request may have reached a leaf. Further attempts count against the retry budget.
		reached  []bool
		inFlight []*attempt
		// outcomes holds the outcome at each leaf whose attempt ended without a part.
		outcomes    map[*placer.Leaf]placer.Outcome
		completions chan completion
		// delegated holds, by shard, the slice at the instance that gathers it. It is nil for shards gathered by this instance.
		delegated []*delegatedSlice
		reports   chan sliceReport
		top       *gatherer.Top
		// quota limits the memory that the parts of the query hold.
		quota *exchanger.Quota
		// proofs holds the proof headers of the parts.
		proofs []string
		// extraAttempts counts the attempts that count against the retry budget.
		extraAttempts int
		// newVersions describes the attempts that a roll-out sent to a new version, at most maxLoggedMissing.
		newVersions []string
		// overBudget counts the hedges and retries that the retry budget denied.
		overBudget int
		plan       gatherer.Plan
		// turnedAway is why the query was turned away, or nil.
		turnedAway *turnedAway
		// startedAt is when the query began to send.
		startedAt time.Duration
	}

	// completion is the result of an attempt.
	completion struct {
		shard   int
		attempt *attempt
		result  exchanger.Result
	}
)

func (g *Gatekeeper) scatter(ctx context.Context, w http.ResponseWriter, in *inboundRequest) {
	q := g.newQuery(in)
	cutOff := g.fleet.noticeOfCutOff()
	defer func() {
		q.cancelOutstanding(ctx.Err() != nil)
		q.in.made = q.made()
	}()
	if !q.dispatchAll() {
		q.refuse(w)
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := g.config.Now()
		if decision := q.execution.Decide(now); decision != gatherer.Continue {
			if decision == gatherer.Exhausted && !g.fleet.canConnect() && q.relay(ctx, w) {
				return
			}
			q.respond(w, decision)
			return
		}
		q.sendDueAttempts(now)
		timer.Reset(q.execution.NextCheck(now) - now)
		select {
		case c := <-q.completions:
			q.onCompletion(c)
			q.drainCompletions()
		case report := <-q.reports:
			q.onReport(report)
		case <-timer.C:
		case <-cutOff:
			cutOff = nil
			if q.relay(ctx, w) {
				return
			}
		case <-g.service.Done():
			q.drainCompletions()
			q.drainReports()
			g.logUnfinished(in, q.describeMissing())
			q.respondAtServiceEnd(w)
			return
		case <-ctx.Done():
			g.counters.callersDisconnected.Inc()
			g.config.Log.Info("gatekeeper: the caller left", "request", in.id, "parts", q.execution.Parts())
			panic(http.ErrAbortHandler)
		}
	}
}

func (g *Gatekeeper) newQuery(in *inboundRequest) *query {
	shards := in.route.Shards()
	now := g.config.Now()
	toInstanceClock := func(deadline time.Time) time.Duration { return now + time.Until(deadline) }
	objective := in.route.Objective()
	due := toInstanceClock(in.arrivedAt.Add(objective - g.config.CallerRoundTrip - mergeMargin))
	giveUp := toInstanceClock(in.giveUpAt())
	plan := gatherer.Plan{
		Shards: len(shards), MinParts: in.route.MinParts(), MaxAttempts: in.route.MaxAttempts(),
		HedgeDelay: g.hedgeDelay(in), SoftDeadline: min(due, giveUp),
		LateDeadline: min(giveUp, toInstanceClock(in.arrivedAt.Add(lateAnswerFactor*objective))), Deadline: giveUp,
		RetryUntil: giveUp,
	}
	return g.newQueryWithPlan(in, plan)
}

// newQueryWithPlan returns a query without any attempts.
func (g *Gatekeeper) newQueryWithPlan(in *inboundRequest, plan gatherer.Plan) *query {
	shards := in.route.Shards()
	reached := make([]bool, len(shards))
	for shard := range reached {
		reached[shard] = in.before.MayHaveArrived()
	}
	return &query{
		gate: g, startedAt: g.config.Now(), in: in, execution: gatherer.New(plan), plan: plan, shards: shards, courses: make([]splitter.Course, len(shards)), tried: make([][]*placer.Leaf, len(shards)),
		mayHaveRun: make([][]*placer.Leaf, len(shards)), reached: reached, delegated: make([]*delegatedSlice, len(shards)),
		completions: make(chan completion, len(shards)*in.route.MaxAttempts()), reports: make(chan sliceReport, len(shards)),
		top:   gatherer.NewTop(in.route.TopRecords()),
		quota: exchanger.NewQuota(int64(queryMemoryShare*float64(g.config.BodyMemoryBytes)), g.bodyMemory),
	}
}

// sendDueAttempts sends hedges for late shards and retries for shards whose backoff has ended.
func (q *query) sendDueAttempts(now time.Duration) {
	late := q.reclaimOverdueSlices(q.execution.ShardsToHedge(now))
	isCutOffPossible := len(late) > 0 && q.gate.canRelay(q.in, q.prior()) && q.gate.fleet.mayBeCutOff(q.startedAt)
	for _, shard := range late {
		q.gate.fleet.recordLate(q.sentAttempts(shard))
		if isCutOffPossible {
			q.execution.OnDenied(shard, now)
			continue
		}
		q.reached[shard] = true
		q.dispatch(shard, q.hedgeSelection(now))
	}
	for _, shard := range q.execution.ShardsToRetry(now) {
		q.tried[shard] = slices.Clone(q.mayHaveRun[shard])
		q.dispatch(shard, selectAny)
	}
}

// made returns what is known of the attempts of this instance, and of those that other instances may still make for it. It counts
// those of the shard with most of them.
func (q *query) made() *retrier.History {
	attempts := make([]int, len(q.shards))
	for shard := range q.shards {
		attempts[shard] = q.execution.Attempts(shard)
	}
	for _, a := range q.inFlight {
		if !a.progress().MayHaveArrived() {
			attempts[a.shard]--
		}
	}
	var history retrier.History
	if used := slices.Max(attempts); used > 0 {
		history = history.WithAttempts(retrier.Unknown, used)
	} else if slices.Contains(q.reached, true) {
		history = history.With(retrier.Refused)
	}
	return &history
}

// prior returns what is known of all attempts, those of other instances before this one included.
func (q *query) prior() priorAttempts {
	made := q.made()
	return priorAttempts{history: q.in.before.WithAttempts(made.Progress(), made.Used()), isCounted: true}
}

// relay ends the attempts and slices of this instance, which reaches no leaf any more, and has another instance serve the query. It
// reports whether the caller has been answered.
func (q *query) relay(ctx context.Context, w http.ResponseWriter) bool {
	if !q.gate.canRelay(q.in, q.prior()) {
		return false
	}
	q.cancelOutstanding(true)
	if !q.gate.relay(ctx, w, q.in, q.prior()) {
		q.gate.refuseCutOff(w, q.in)
	}
	return true
}

// hedgeDelay returns the time after which an attempt is hedged. It is a high quantile of the response times of the route,
// limited so that the hedge can still answer within the objective.
func (g *Gatekeeper) hedgeDelay(in *inboundRequest) time.Duration {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	return g.fleet.latencyOf(in.route).hedgeDelay(in.route.Objective() - g.config.CallerRoundTrip - mergeMargin)
}

func (q *query) drainCompletions() {
	for {
		select {
		case c := <-q.completions:
			q.onCompletion(c)
		default:
			return
		}
	}
}

func (q *query) drainReports() {
	for {
		select {
		case report := <-q.reports:
			q.onReport(report)
		default:
			return
		}
	}
}

func (q *query) onCompletion(c completion) {
	defer c.result.Release()
	outcome := q.gate.outcomeOf(c.result)
	proof := ""
	if outcome == placer.Answered {
		proof = string(c.result.Response.Header.Peek(q.gate.config.Headers.Proof))
		if c.result.Status() != http.StatusOK || proof == "" {
			outcome = placer.Failed
		}
	}
	q.gate.logAttemptEnd(q.in, c.attempt, outcome, c.result)
	q.gate.fleet.finish(c.attempt, outcome, c.result)
	q.inFlight = removeAttempt(q.inFlight, c.attempt)
	if outcome == placer.Answered {
		if q.execution.OnPart(c.shard) {
			q.proofs = append(q.proofs, proof)
			q.top.Add(c.result.Response.Body())
		}
		return
	}
	if q.outcomes == nil {
		q.outcomes = map[*placer.Leaf]placer.Outcome{}
	}
	q.outcomes[c.attempt.upstream.leaf] = outcome
	progress := c.result.Progress
	q.reached[c.shard] = q.reached[c.shard] || progress.MayHaveArrived()
	if progress.MayHaveRun() {
		q.mayHaveRun[c.shard] = append(q.mayHaveRun[c.shard], c.attempt.upstream.leaf)
	}
	if q.execution.OnFailure(c.shard, progress.MayHaveRun()) {
		q.gate.counters.retries.Inc()
		q.dispatch(c.shard, selectAny)
	}
}

// maxPartBytes returns the size limit of a part, in bytes, for an answer of the given number of records.
func maxPartBytes(records int) int {
	return max(minPartLimit, partRecordRatio*records*gatherer.RecordBytes)
}

// sentAttempts returns the in-flight attempts of a shard that were written to a connection.
func (q *query) sentAttempts(shard int) []*attempt {
	var sent []*attempt
	for _, a := range q.inFlight {
		if a.shard == shard && a.progress().MayHaveArrived() {
			sent = append(sent, a)
		}
	}
	return sent
}

func removeAttempt(attempts []*attempt, completed *attempt) []*attempt {
	return slices.DeleteFunc(attempts, func(a *attempt) bool { return a == completed })
}

// cancelOutstanding abandons in-flight attempts and delegated slices. If the caller has disconnected, it closes the connections
// of the attempts so that the leafs stop work.
func (q *query) cancelOutstanding(callerLeft bool) {
	for _, a := range q.inFlight {
		if !a.isAbandoned {
			a.isAbandoned = true
			q.gate.fleet.abandon(a, a.exchange.Abandon(callerLeft))
		}
	}
	q.cancelSlices(callerLeft)
	for {
		select {
		case c := <-q.completions:
			c.result.Release()
		default:
			return
		}
	}
}
