// A query over many shards: one goroutine sends, waits and merges; the
// connections' readers hand it their answers through one channel.

package gatekeeper

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/gatherer"
	"lovagedeck/pkg/placer"
)

const (
	// mergeMargin is the time to merge and write an answer, with a hiccup of the processor.
	mergeMargin = 5 * time.Millisecond
	// lateFactor is how many objectives a late answer waits for its missing shards.
	lateFactor = 2
	// partRecords bounds a part, in records for each one that the answer holds, and leastPart the bound, in bytes: upstreams
	// send about as many records as the answer takes, and some send more.
	partRecords = 64
	leastPart   = 64 << 10
)

type (
	// query is one scattered request under way.
	query struct {
		gate   *Gatekeeper
		in     *inbound
		course *gatherer.Execution
		shards []string
		tried  [][]*placer.Leaf
		// ran holds, for each shard, the leafs that may have run the request.
		ran [][]*placer.Leaf
		// arrived tells which shards had a request that reached a leaf: another one counts as repeated.
		arrived  []bool
		attempts []*attempt
		// outcomes is how the leafs that brought no part ended the request.
		outcomes map[*placer.Leaf]placer.Outcome
		ends     chan exchangeEnd
		// slices are the shards that other instances gather, by shard; nil where this one asks the leafs.
		slices  []*handedSlice
		reports chan sliceReport
		top     *gatherer.Top
		// meter counts the parts that are held.
		meter  *exchanger.Meter
		proofs []string
		extra  int
		// overBudget counts the repeated requests that the budget did not allow.
		overBudget int
		plan       gatherer.Plan
	}

	exchangeEnd struct {
		shard   int
		attempt *attempt
		result  exchanger.Result
	}
)

func (g *Gatekeeper) scatter(w http.ResponseWriter, r *http.Request, in *inbound) {
	q := g.newQuery(in)
	defer func() { q.abandonAll(r.Context().Err() != nil) }()
	if !q.askAll() {
		q.refuse(w)
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := g.config.Now()
		if verdict := q.course.Decide(now); verdict != gatherer.Continue {
			q.answer(w, verdict)
			return
		}
		q.hedge(now)
		timer.Reset(q.course.NextCheck(now) - now)
		select {
		case end := <-q.ends:
			q.onEnd(end)
			q.drainEnds()
		case report := <-q.reports:
			q.onReport(report)
		case <-timer.C:
		case <-r.Context().Done():
			g.counters.callerLeft.Inc()
			g.config.Log.Info("gatekeeper: the caller left", "request", in.id, "parts", q.course.Parts())
			panic(http.ErrAbortHandler)
		}
	}
}

func (g *Gatekeeper) newQuery(in *inbound) *query {
	shards := in.route.Shards()
	now := g.config.Now()
	at := func(moment time.Time) time.Duration { return now + time.Until(moment) }
	objective := in.route.Objective()
	due := at(in.arrived.Add(objective - g.config.Travel - mergeMargin))
	giveUp := at(in.giveUpAt())
	plan := gatherer.Plan{
		Shards: len(shards), MinParts: in.route.MinParts(), MaxAttempts: in.route.MaxAttempts(),
		HedgeDelay: g.hedgeDelay(in), SoftDeadline: min(due, giveUp),
		LateDeadline: min(giveUp, at(in.arrived.Add(lateFactor*objective))), Deadline: giveUp,
		RetryUntil: giveUp,
	}
	return g.queryOf(in, plan)
}

// queryOf returns a query of which nothing was asked yet.
func (g *Gatekeeper) queryOf(in *inbound, plan gatherer.Plan) *query {
	shards := in.route.Shards()
	return &query{
		gate: g, in: in, course: gatherer.New(plan), plan: plan, shards: shards, tried: make([][]*placer.Leaf, len(shards)),
		ran: make([][]*placer.Leaf, len(shards)), arrived: make([]bool, len(shards)), slices: make([]*handedSlice, len(shards)),
		ends: make(chan exchangeEnd, len(shards)*in.route.MaxAttempts()), reports: make(chan sliceReport, len(shards)),
		top:   gatherer.NewTop(in.route.TopRecords()),
		meter: exchanger.NewMeter(int64(queryShare*float64(g.config.HeldBytes)), g.held),
	}
}

// hedge asks late shards again, and those whose pause is over.
func (q *query) hedge(now time.Duration) {
	for _, shard := range q.withoutSilentSlices(q.course.ShardsToHedge(now)) {
		q.gate.fleet.silent(q.running(shard))
		q.arrived[shard] = true
		q.ask(shard, q.hedgeNeed(now))
	}
	for _, shard := range q.course.ShardsToRetry(now) {
		q.tried[shard] = slices.Clone(q.ran[shard])
		q.ask(shard, needAny)
	}
}

// hedgeDelay is the usual longest time of a shard, but early enough for the second attempt to be in time.
func (g *Gatekeeper) hedgeDelay(in *inbound) time.Duration {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	return g.fleet.kindOf(in.route).hedgeAfter(in.route.Objective() - g.config.Travel - mergeMargin)
}

func (q *query) drainEnds() {
	for {
		select {
		case end := <-q.ends:
			q.onEnd(end)
		default:
			return
		}
	}
}

func (q *query) onEnd(end exchangeEnd) {
	defer end.result.Release()
	outcome := q.gate.outcomeOf(end.result)
	proof := ""
	if outcome == placer.Answered {
		proof = string(end.result.Answer.Header.Peek(q.gate.config.Headers.Proof))
		if end.result.Status() != http.StatusOK || proof == "" {
			outcome = placer.Faulty
		}
	}
	q.gate.noteEnd(q.in, end.attempt, outcome, end.result)
	q.gate.fleet.end(end.attempt, outcome, end.result.Travelled, end.result.Sent)
	q.attempts = without(q.attempts, end.attempt)
	if outcome == placer.Answered {
		if q.course.OnPart(end.shard) {
			q.proofs = append(q.proofs, proof)
			q.top.Add(end.result.Answer.Body())
		}
		return
	}
	if q.outcomes == nil {
		q.outcomes = map[*placer.Leaf]placer.Outcome{}
	}
	q.outcomes[end.attempt.upstream.leaf] = outcome
	ran := end.result.Sent && outcome != placer.Full && outcome != placer.Replaced
	q.arrived[end.shard] = q.arrived[end.shard] || end.result.Sent
	if ran {
		q.ran[end.shard] = append(q.ran[end.shard], end.attempt.upstream.leaf)
	}
	if q.course.OnFailure(end.shard, ran) {
		q.gate.counters.retries.Inc()
		q.ask(end.shard, needAny)
	}
}

// partLimit is the longest part of a route, in bytes.
func partLimit(records int) int { return max(leastPart, partRecords*records*gatherer.RecordBytes) }

// running returns the attempts of a shard that were sent and have not ended.
func (q *query) running(shard int) []*attempt {
	var running []*attempt
	for _, a := range q.attempts {
		if a.shard == shard && a.ticket.Sent() {
			running = append(running, a)
		}
	}
	return running
}

func without(attempts []*attempt, ended *attempt) []*attempt {
	return slices.DeleteFunc(attempts, func(a *attempt) bool { return a == ended })
}

// abandonAll gives up what still runs. When the caller left, upstreams are told by closing their connections.
func (q *query) abandonAll(callerLeft bool) {
	for _, a := range q.attempts {
		sent := a.ticket.Sent()
		a.ticket.Abandon(callerLeft)
		q.gate.fleet.endLate(a, sent)
	}
	q.dropSlices(callerLeft)
	for {
		select {
		case end := <-q.ends:
			end.result.Release()
		default:
			return
		}
	}
}

func (q *query) answer(w http.ResponseWriter, verdict gatherer.Decision) {
	g := q.gate
	took := time.Since(q.in.arrived)
	missing := len(q.shards) - q.course.Parts()
	switch verdict {
	case gatherer.Exhausted:
		q.fail(w, http.StatusBadGateway, "too few shards answered, and no more can", took)
		return
	case gatherer.TimedOut:
		q.fail(w, http.StatusGatewayTimeout, "too few shards answered in time", took)
		return
	case gatherer.Partial:
		g.counters.partial.Inc()
	default:
		g.counters.complete.Inc()
	}
	body := q.top.Bytes()
	header := w.Header()
	header.Set(g.config.Headers.Proofs, strings.Join(q.proofs, ", "))
	header.Set(g.config.Headers.Missing, strconv.Itoa(missing))
	header.Set(g.config.Headers.RequestID, q.in.id)
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	g.writeHead(w, http.StatusOK)
	_, _ = w.Write(body)
	g.counters.duration("scatter").Update(took.Seconds())
	g.config.Log.Info("gatekeeper: answered", "request", q.in.id, "route", q.in.route.Name(), "version", q.in.version,
		"parts", q.course.Parts(), "missing", q.missing(), "handed", q.handedTo(), "extra", q.extra, "over-budget", q.overBudget, "took-ms", took.Milliseconds(),
		"objective-ms", q.in.route.Objective().Milliseconds())
}

// refuse ends a query of which nothing was sent.
func (q *query) refuse(w http.ResponseWriter) {
	q.gate.refuse(w, refusal{
		id: q.in.id, status: http.StatusServiceUnavailable, retryAfter: retryFull, reason: "too few shards have a leaf",
		route: q.in.route.Name(), version: q.in.version, took: time.Since(q.in.arrived),
		patience: q.in.deadline.Sub(q.in.arrived),
	})
}

func (q *query) fail(w http.ResponseWriter, status int, reason string, took time.Duration) {
	q.gate.refuse(w, refusal{
		id: q.in.id, status: status, reason: reason, missing: q.missing(), route: q.in.route.Name(), version: q.in.version, took: took,
		asked: len(q.shards) + q.extra, patience: q.in.deadline.Sub(q.in.arrived),
	})
}

// namedMissing bounds the missing shards that a log line names.
const namedMissing = 24

// missing names the shards that are not in the answer, with the leafs that were asked and what they did.
func (q *query) missing() []string {
	var missing []string
	left := 0
	for shard, name := range q.shards {
		switch {
		case q.course.HasPart(shard):
		case len(missing) < namedMissing:
			missing = append(missing, name+"("+q.asked(shard)+")")
		default:
			left++
		}
	}
	if left > 0 {
		missing = append(missing, fmt.Sprintf("and %d more", left))
	}
	return missing
}

// asked names the leafs of a shard that were asked.
func (q *query) asked(shard int) string {
	var asked []string
	if s := q.slices[shard]; s != nil {
		asked = append(asked, s.call.Instance()+": "+s.open[shard])
	}
	for _, leaf := range q.tried[shard] {
		asked = append(asked, leaf.Fields().ID+":"+q.did(shard, leaf))
	}
	if len(asked) == 0 {
		return "no leaf"
	}
	return strings.Join(asked, ", ")
}

// did says what a leaf that was asked for a shard did, as far as is known.
func (q *query) did(shard int, leaf *placer.Leaf) string {
	for _, a := range q.attempts {
		if a.shard == shard && a.upstream.leaf == leaf {
			if a.ticket == nil || !a.ticket.Sent() {
				return "waits for a connection"
			}
			return "silent"
		}
	}
	if outcome, ok := q.outcomes[leaf]; ok {
		return outcome.String()
	}
	return "given up"
}
