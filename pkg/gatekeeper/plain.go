// A plain request goes to one leaf. It is tried again only where that is
// allowed: always when the leaf states that it did not start, and otherwise
// only when the request may run more than once. Such a request is also sent to
// a second leaf when the first one is late for its kind.

package gatekeeper

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/gatherer"
	"lovagedeck/pkg/placer"
)

const (
	// retryFull is when a caller may come back after every leaf was full.
	retryFull = 250 * time.Millisecond
	// onlyShard is the place of the one leaf that a plain request needs, in the course that it shares with scattered ones.
	onlyShard = 0
)

type (
	// forward is one plain request under way.
	forward struct {
		gate    *Gatekeeper
		in      *inbound
		service string
		course  *gatherer.Execution
		tried   []*placer.Leaf
		// arrived tells that a request reached a leaf: another one counts as repeated.
		arrived  bool
		attempts []*attempt
		ends     chan completion
		last     ending
		// failure is a leaf's own failure, passed on where no other leaf does better.
		failure *completion
	}

	// ending says why an attempt brought no answer to pass on.
	ending struct {
		reason string
		ran    bool
	}
)

func (g *Gatekeeper) plain(w http.ResponseWriter, r *http.Request, in *inbound) {
	f := g.newForward(in)
	defer f.close()
	f.ask(needReady)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := g.config.Now()
		switch f.course.Decide(now) {
		case gatherer.Exhausted:
			f.fail(w)
			return
		case gatherer.TimedOut:
			f.timeOut(w)
			return
		}
		if len(f.course.ShardsToHedge(now)) > 0 {
			g.fleet.silent(f.attempts)
			f.arrived = true
			f.ask(needSound)
		}
		timer.Reset(f.course.NextCheck(now) - now)
		select {
		case end := <-f.ends:
			if f.onEnd(w, end) {
				return
			}
		case <-timer.C:
		case <-r.Context().Done():
			g.counters.callerLeft.Inc()
			g.config.Log.Info("gatekeeper: the caller left", "request", in.id, "asked", len(f.tried))
			panic(http.ErrAbortHandler)
		}
	}
}

func (g *Gatekeeper) newForward(in *inbound) *forward {
	g.fleet.mu.Lock()
	service := in.route.PickService(g.fleet.random.Float64())
	g.fleet.mu.Unlock()
	g.fleet.countRequest([]string{service})
	now := g.config.Now()
	giveUp := now + time.Until(in.giveUpAt())
	plan := gatherer.Plan{
		Shards: 1, MinParts: 1, MaxAttempts: in.route.MaxAttempts(), ForbidsHedging: !in.route.Idempotent(),
		HedgeDelay: g.hedgeDelay(in), SoftDeadline: giveUp, LateDeadline: giveUp, Deadline: giveUp,
	}
	return &forward{
		gate: g, in: in, service: service, course: gatherer.New(plan), ends: make(chan completion, maxForwards),
		last: ending{reason: "no leaf of the service is known"},
	}
}

// maxForwards is room for the ends of all attempts of one request; each leaf is tried once.
const maxForwards = 16

// ask sends the request to another leaf.
func (f *forward) ask(need need) {
	g := f.gate
	var a *attempt
	if len(f.tried) < maxForwards {
		var why denial
		a, why = g.fleet.begin(f.in.route, f.service, f.tried, need, f.arrived)
		if a == nil && need == needReady {
			a, why = g.fleet.begin(f.in.route, f.service, f.tried, needAny, f.arrived)
		}
		g.counters.denied(why)
	}
	if a == nil {
		f.course.OnDenied(onlyShard, g.config.Now())
		return
	}
	switch {
	case need == needSound:
		g.counters.hedges.Inc()
		g.noteExtra(f.in, a, "hedge", "the first leaf is late")
	case len(f.tried) > 0:
		g.counters.retries.Inc()
		g.noteExtra(f.in, a, "retry", f.last.reason)
	}
	f.tried = append(f.tried, a.upstream.leaf)
	f.attempts = append(f.attempts, a)
	f.course.OnSent(onlyShard, g.config.Now())
	a.ticket = a.upstream.pool.Start(&f.in.request, func(result exchanger.Result) {
		f.ends <- completion{attempt: a, result: result}
	})
}

// onEnd tells whether the request is answered.
func (f *forward) onEnd(w http.ResponseWriter, end completion) bool {
	g := f.gate
	outcome := g.outcomeOf(end.result)
	g.noteEnd(f.in, end.attempt, outcome, end.result)
	g.fleet.end(end.attempt, outcome, end.result.Travelled, end.result.Sent)
	f.attempts = removeAttempt(f.attempts, end.attempt)
	f.arrived = f.arrived || end.result.Sent
	ran := end.result.Sent && outcome != placer.Full && outcome != placer.Replaced
	failed := end.result.Answer != nil && (outcome == placer.Faulty || outcome == placer.Expired)
	if outcome == placer.Answered || failed && !f.in.route.Idempotent() {
		f.pass(w, end)
		return true
	}
	ranBefore := f.last.ran
	f.last = g.endingOf(end.result)
	f.last.ran = f.last.ran || ranBefore
	if failed {
		f.keepFailure(end)
	} else {
		end.result.Release()
	}
	again := f.course.OnFailure(onlyShard, ran)
	if ran && !f.in.route.Idempotent() {
		f.fail(w)
		return true
	}
	if again {
		f.ask(needReady)
	}
	return false
}

func (f *forward) keepFailure(end completion) {
	if f.failure != nil {
		f.failure.result.Release()
	}
	f.failure = &end
}

// close gives up what still runs, and ends it at the leafs.
func (f *forward) close() {
	for _, a := range f.attempts {
		sent := a.ticket.Sent()
		a.ticket.Abandon(true)
		f.gate.fleet.endLate(a, sent)
	}
	if f.failure != nil {
		f.failure.result.Release()
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

// timeOut ends a request whose time is over while leafs are silent.
func (f *forward) timeOut(w http.ResponseWriter) {
	g := f.gate
	running := f.attempts
	f.attempts = nil
	for _, a := range running {
		sent := a.ticket.Sent()
		a.ticket.Abandon(true)
		silence := g.config.Now() - a.begun
		g.noteEnd(f.in, a, placer.Silent, exchanger.Result{Sent: sent, Travelled: silence})
		g.fleet.end(a, placer.Silent, silence, sent)
		f.last.ran = f.last.ran || sent
	}
	f.last.reason = "no answer in time"
	f.fail(w)
}

func (f *forward) pass(w http.ResponseWriter, end completion) {
	g, in, result := f.gate, f.in, end.result
	g.pass(w, in, result)
	took := time.Since(in.arrived)
	g.counters.passed.Inc()
	g.counters.duration("plain").Update(took.Seconds())
	g.config.Log.Info("gatekeeper: passed", "request", in.id, "route", in.route.Name(), "version", in.version,
		"leaf", end.attempt.upstream.leaf.Fields().ID, "status", result.Status(), "took-ms", took.Milliseconds(),
		"queued-ms", result.Queued.Milliseconds(), "leaf-ms", result.Travelled.Milliseconds())
	result.Release()
}

// fail ends a request that no leaf answered well: 503 only where it has surely not run.
func (f *forward) fail(w http.ResponseWriter) {
	if f.failure != nil {
		end := *f.failure
		f.failure = nil
		f.pass(w, end)
		return
	}
	in := f.in
	refused := refusal{
		id: in.id, status: http.StatusServiceUnavailable, retryAfter: retryFull, reason: f.last.reason,
		route: in.route.Name(), version: in.version, took: time.Since(in.arrived), asked: len(f.tried),
		patience: in.deadline.Sub(in.arrived),
	}
	if f.last.ran {
		refused.status, refused.retryAfter = http.StatusBadGateway, 0
		if !time.Now().Before(in.giveUpAt()) {
			refused.status = http.StatusGatewayTimeout
		}
	}
	f.gate.refuse(w, refused)
}

// outcomeOf reads the end of an exchange as a statement about the leaf.
func (g *Gatekeeper) outcomeOf(result exchanger.Result) placer.Outcome {
	if errors.Is(result.Err, exchanger.ErrNoRoom) {
		return placer.Dropped
	}
	if result.Answer == nil {
		if result.Sent {
			return placer.Faulty
		}
		return placer.Unreachable
	}
	status := result.Status()
	switch {
	case status == http.StatusMisdirectedRequest:
		return placer.Replaced
	case g.notRun(result):
		return placer.Full
	case status == http.StatusGatewayTimeout:
		return placer.Expired
	case status >= http.StatusInternalServerError:
		return placer.Faulty
	}
	return placer.Answered
}

func (g *Gatekeeper) notRun(result exchanger.Result) bool {
	return len(result.Answer.Header.Peek(g.config.Headers.NotRun)) > 0
}

func (g *Gatekeeper) endingOf(result exchanger.Result) ending {
	switch {
	case result.Answer == nil && !result.Sent:
		return ending{reason: "the leaf could not be reached"}
	case result.Answer == nil:
		return ending{reason: "the leaf broke off", ran: true}
	case result.Status() == http.StatusMisdirectedRequest || g.notRun(result):
		return ending{reason: "the leaf refused"}
	}
	return ending{reason: "the leaf failed", ran: true}
}
