// A plain request is sent to one leaf. It is retried whenever the leaf states
// that it did not start the request, and otherwise only if the request is
// idempotent. An idempotent request is also hedged when the first leaf exceeds
// the hedge delay of the route.

package gatekeeper

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/gatherer"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/retrier"
	"lovagedeck/pkg/splitter"
)

const (
	// overloadRetryAfter is the Retry-After of a request that no leaf, or this instance, had capacity for.
	overloadRetryAfter = 250 * time.Millisecond
	// overloadSpread is the share by which it is lengthened at random where requests compete, so that callers that leafs have refused
	// together do not return together.
	overloadSpread = 1.0
	// reasonRateLimit is the reason of a refusal for which the rate limits of the leafs left no room.
	reasonRateLimit = "the rate limit of each leaf is used up"
	// reasonRest is the reason of a refusal for which all leafs had asked for rest.
	reasonRest = "each leaf has asked for rest"
	// reasonUnstatedRefusal is the reason of a failure in place of a leaf's response that is not passed on.
	reasonUnstatedRefusal = "the leaf answered with the status of a refusal and did not state that the request has not run"
	// onlyShard is the shard index of a plain request, which gatherer.Execution treats as a query with one shard.
	onlyShard = 0
)

type (
	// forwarder sends one plain request to leafs until one of them answers it.
	forwarder struct {
		gate      *Gatekeeper
		in        *inboundRequest
		service   string
		execution *gatherer.Execution
		course    splitter.Course
		tried     []*placer.Leaf
		attempts  []*attempt
		// made is what is known of the attempts of this instance that have ended.
		made          retrier.History
		ends          chan completion
		failureReason string
		// denied is why the last attempt that was due was not started, or denialNone.
		denied denial
		// competes is set if requests compete for the leafs, and turnedAway is why this one was turned away, or nil.
		competes   bool
		turnedAway *turnedAway
		// failureResponse is an error response of a leaf. It is forwarded if no other leaf succeeds.
		failureResponse *completion
	}
)

func (g *Gatekeeper) servePlain(ctx context.Context, w http.ResponseWriter, in *inboundRequest) {
	f := g.newForwarder(in)
	cutOff := g.fleet.noticeOfCutOff()
	defer f.close()
	f.startAttempt(selectWithinLimit)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := g.config.Now()
		switch f.execution.Decide(now) {
		case gatherer.Exhausted:
			if g.fleet.canConnect() || f.known().MayHaveRun() || !f.relay(ctx, w) {
				f.fail(w)
			}
			return
		case gatherer.TimedOut:
			f.failOnTimeout(w)
			return
		}
		if len(f.execution.ShardsToHedge(now)) > 0 {
			f.hedge(now)
		}
		timer.Reset(f.execution.NextCheck(now) - now)
		select {
		case end := <-f.ends:
			if f.onEnd(w, end) {
				return
			}
		case <-timer.C:
		case <-cutOff:
			cutOff = nil
			if f.relay(ctx, w) {
				return
			}
		case <-g.service.Done():
			if !f.takeResults(w) {
				g.logUnfinished(in, f.describeAttempts())
				f.failAtServiceEnd(w)
			}
			return
		case <-ctx.Done():
			g.counters.callersDisconnected.Inc()
			g.config.Log.Info("gatekeeper: the caller left", "request", in.id, "asked", len(f.tried))
			panic(http.ErrAbortHandler)
		}
	}
}

func (g *Gatekeeper) newForwarder(in *inboundRequest) *forwarder {
	g.fleet.mu.Lock()
	service := in.route.PickService(g.fleet.random.Float64())
	g.fleet.mu.Unlock()
	g.fleet.count(in, []string{service})
	now := g.config.Now()
	giveUp := now + time.Until(in.giveUpAt())
	plan := gatherer.Plan{
		Shards: 1, MinParts: 1, MaxAttempts: in.route.MaxAttempts(), ForbidsHedging: !in.route.Idempotent(),
		HedgeDelay: g.hedgeDelay(in), SoftDeadline: giveUp, LateDeadline: giveUp, Deadline: giveUp,
	}
	return &forwarder{
		gate: g, in: in, service: service, execution: gatherer.New(plan), ends: make(chan completion, maxPlainAttempts),
		failureReason: "no leaf of the service is known",
	}
}

// describeAttempts lists the leafs tried, with the state of each attempt in progress.
func (f *forwarder) describeAttempts() []string {
	var descriptions []string
	for _, a := range f.attempts {
		descriptions = append(descriptions, a.upstream.leaf.Fields().ID+": "+a.describeState())
	}
	return append(descriptions, fmt.Sprintf("%d leafs tried", len(f.tried)))
}

// hedge sends the request to another leaf, unless no leaf has answered since the first attempt and this instance may be cut off.
func (f *forwarder) hedge(now time.Duration) {
	f.gate.fleet.recordLate(f.attempts)
	if f.gate.canRelay(f.in, f.prior()) && f.gate.fleet.mayBeCutOff(f.attempts[0].startedAt) {
		f.execution.OnDenied(onlyShard, now)
		return
	}
	f.startAttempt(selectHealthy)
}

// known returns what is known of the attempts that have ended, those of other instances included.
func (f *forwarder) known() retrier.History {
	return f.in.before.WithAttempts(f.made.Progress(), f.made.Used())
}

// prior returns what is known of all attempts, those in progress included.
func (f *forwarder) prior() priorAttempts {
	history := f.known()
	for _, a := range f.attempts {
		history = history.With(a.progress())
	}
	return priorAttempts{history: history, isCounted: true}
}

// relay ends the attempts of this instance, which reaches no leaf any more, and has another instance serve the request. It reports
// whether the caller has been answered.
func (f *forwarder) relay(ctx context.Context, w http.ResponseWriter) bool {
	if !f.gate.canRelay(f.in, f.prior()) || f.failureResponse != nil || !f.in.route.Idempotent() && !f.withdrawAttempt() {
		return false
	}
	f.abandonAttempts()
	in := *f.in
	in.route = f.in.route.WithService(f.service)
	if !f.gate.relay(ctx, w, &in, f.prior()) {
		f.gate.refuseCutOff(w, f.in)
	}
	f.in.isAnswered = in.isAnswered
	return true
}

// withdrawAttempt ends the attempt in progress at a request that is not idempotent, unless it may have been sent, and reports whether
// none is left.
func (f *forwarder) withdrawAttempt() bool {
	for _, a := range f.attempts {
		if !a.exchange.Withdraw() {
			return false
		}
	}
	return true
}

// maxPlainAttempts limits the attempts of one request, each at another leaf, and is the capacity of the channel for
// their results.
const maxPlainAttempts = 16

// startAttempt sends the request to another leaf, as a first attempt, retry or hedge.
func (f *forwarder) startAttempt(selection leafSelection) {
	g := f.gate
	var a *attempt
	var reason denial
	isExtra := selection == selectHealthy || f.known().MayHaveArrived()
	var advised *advice
	admission := f.admission(selection)
	f.competes = f.competes || admission != nil
	if len(f.tried) < maxPlainAttempts {
		advised = g.fleet.askPlacement(f.in, f.service, f.tried, selection, admission)
	}
	if g.keyStateOf(f.in.identity, f.in.version) != keyHeld {
		g.fleet.discard(advised)
		f.onKeyLost()
		return
	}
	if advised != nil && advised.reply.IsTurnedAway {
		f.onTurnedAway(advised, admission)
		return
	}
	if len(f.tried) < maxPlainAttempts {
		a, reason = g.fleet.newAttempt(f.in, f.service, f.tried, selection, isExtra, &f.course, advised)
		if a == nil && selection == selectWithinLimit {
			a, reason = g.fleet.newAttempt(f.in, f.service, f.tried, selectAny, isExtra, &f.course, advised)
		}
		if a == nil {
			g.fleet.discard(advised)
		}
		g.countPlacement(a)
		g.counters.countDenial(reason)
	}
	f.denied = reason
	if a == nil {
		switch reason {
		case denialRateLimit:
			f.failureReason = reasonRateLimit
		case denialStopping:
			f.failureReason = reasonStopping
		case denialRest:
			f.failureReason = reasonRest
		}
		f.execution.OnDenied(onlyShard, g.config.Now())
		return
	}
	switch {
	case selection == selectHealthy:
		g.counters.hedges.Inc()
		g.logExtraAttempt(f.in, a, "hedge", "the first leaf is late")
	case len(f.tried) > 0:
		g.counters.retries.Inc()
		g.logExtraAttempt(f.in, a, "retry", f.failureReason)
	}
	f.tried = append(f.tried, a.upstream.leaf)
	f.attempts = append(f.attempts, a)
	f.execution.OnSent(onlyShard, g.config.Now())
	a.exchange = a.upstream.pool.Start(&f.in.request, func(result exchanger.Result) {
		f.ends <- completion{attempt: a, result: result}
	})
}

// onKeyLost ends a request whose caller does not hold the key any more, unless an attempt is in progress.
func (f *forwarder) onKeyLost() {
	if len(f.attempts) > 0 {
		f.execution.OnDenied(onlyShard, f.gate.config.Now())
		return
	}
	f.execution.OnExhausted(onlyShard)
}

// onEnd handles the result of an attempt and reports whether the request has been answered.
func (f *forwarder) onEnd(w http.ResponseWriter, end completion) bool {
	g := f.gate
	outcome := g.outcomeOf(end.result)
	g.logAttemptEnd(f.in, end.attempt, outcome, end.result)
	g.fleet.finish(end.attempt, outcome, end.result)
	f.attempts = removeAttempt(f.attempts, end.attempt)
	f.made = f.made.With(end.result.Progress)
	isFailureResponse := end.result.Status() >= http.StatusInternalServerError && (outcome == placer.Failed || outcome == placer.LeafTimedOut)
	isUnstated := f.isUnstatedRefusal(end.result)
	if (outcome == placer.Answered || isFailureResponse && !f.in.route.Idempotent()) && !isUnstated {
		f.writeResponse(w, end)
		return true
	}
	f.failureReason = failureReason(end.result)
	if isUnstated {
		f.failureReason = reasonUnstatedRefusal
	}
	if isFailureResponse && !isUnstated {
		f.keepFailureResponse(end)
	} else {
		end.result.Release()
	}
	if !f.known().Allows(f.in.route.Idempotent(), maxPlainAttempts) {
		f.fail(w)
		return true
	}
	if f.execution.OnFailure(onlyShard, end.result.Progress.MayHaveRun()) {
		f.startAttempt(selectWithinLimit)
	} else if len(f.attempts) == 0 {
		f.denied = denialAttempts
	}
	return false
}

// isUnstatedRefusal reports whether the status of the response would tell the caller that a request that is not idempotent has not run,
// which the leaf does not state.
func (f *forwarder) isUnstatedRefusal(result exchanger.Result) bool {
	return !f.in.route.Idempotent() && statesNotRun(result.Status()) && result.Progress.MayHaveRun()
}

func (f *forwarder) keepFailureResponse(end completion) {
	if f.failureResponse != nil {
		f.failureResponse.result.Release()
	}
	f.failureResponse = &end
}

// abandonAttempts cancels the attempts that are still running, at their leafs as well.
func (f *forwarder) abandonAttempts() {
	for _, a := range f.attempts {
		progress := a.exchange.Abandon(true)
		f.made = f.made.With(progress)
		f.gate.fleet.abandon(a, progress)
	}
	f.attempts = nil
}

// close cancels the attempts that are still running, records what is known of all of them, and releases unused responses.
func (f *forwarder) close() {
	f.abandonAttempts()
	f.in.made = &f.made
	if f.failureResponse != nil {
		f.failureResponse.result.Release()
	}
	for {
		select {
		case end := <-f.ends:
			end.result.Release()
		default:
			return
		}
	}
}

// failOnTimeout cancels the attempts that did not end in time and answers the request.
func (f *forwarder) failOnTimeout(w http.ResponseWriter) {
	g := f.gate
	running := f.attempts
	f.attempts = nil
	for _, a := range running {
		result := exchanger.Result{Progress: a.exchange.Abandon(true), ResponseTime: g.config.Now() - a.startedAt}
		f.made = f.made.With(result.Progress)
		g.logAttemptEnd(f.in, a, placer.Unanswered, result)
		g.fleet.finish(a, placer.Unanswered, result)
	}
	f.failureReason = "no answer in time"
	f.fail(w)
}

// takeResults handles the results that have arrived and reports whether the request has been answered.
func (f *forwarder) takeResults(w http.ResponseWriter) bool {
	for {
		select {
		case end := <-f.ends:
			if f.onEnd(w, end) {
				return true
			}
		default:
			return false
		}
	}
}

// failAtServiceEnd gives up the attempts that this instance can no longer wait for and answers the request.
func (f *forwarder) failAtServiceEnd(w http.ResponseWriter) {
	f.abandonAttempts()
	f.failureReason = reasonStopping
	f.fail(w)
}
