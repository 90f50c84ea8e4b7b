package gatekeeper

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/placer"
)

func (f *forwarder) writeResponse(w http.ResponseWriter, end completion) {
	g, in, result := f.gate, f.in, end.result
	in.isAnswered = true
	g.writeUpstreamResponse(w, in, result)
	took := time.Since(in.arrivedAt)
	g.fleet.recordRequest(in.route, took)
	g.counters.passed.Inc()
	g.counters.duration("plain").Update(took.Seconds())
	g.config.Log.WithValues(end.attempt.describeVersion()...).Info("gatekeeper: passed", "request", in.id, "route", in.route.Name(), "version", in.version,
		"leaf", end.attempt.upstream.leaf.Fields().ID, "status", result.Status(), "took-ms", took.Milliseconds(),
		"queued-ms", result.QueueTime.Milliseconds(), "leaf-ms", result.ResponseTime.Milliseconds(),
		"tenant", in.tenantName(), "allowed-by", string(in.allowedBy), "allowance-ms", in.allowanceWait.Milliseconds(), "placed-by", end.attempt.placedBy(),
		"expected-cost-ms", end.attempt.cost.Milliseconds(), "expected-wait-ms", end.attempt.wait.Milliseconds(), "sight-age-ms", end.attempt.sightAge().Milliseconds())
	result.Release()
}

// fail answers a request that no leaf served successfully. Status 503 is sent only if the request has certainly not
// run.
func (f *forwarder) fail(w http.ResponseWriter) {
	if f.failureResponse != nil {
		end := *f.failureResponse
		f.failureResponse = nil
		f.writeResponse(w, end)
		return
	}
	in := f.in
	r := refusal{
		id: in.id, status: http.StatusServiceUnavailable, retryAfter: overloadRetryAfter, reason: f.failureReason,
		route: in.route.Name(), version: in.version, took: time.Since(in.arrivedAt), attempts: len(f.tried),
		callerTimeout: in.deadline.Sub(in.arrivedAt),
	}
	if f.competes {
		r.retryAfter = f.gate.fleet.spread(overloadRetryAfter, overloadSpread)
	}
	if wait := f.gate.fleet.retryAfter([]string{f.service}, 0); wait > 0 {
		r.retryAfter = wait
	}
	if r.reason == reasonStopping {
		r.retryAfter = f.gate.stopRetryAfter()
	}
	f.turnedAway.applyTo(&r)
	if f.denied != denialNone {
		r.details = append(r.details, "no-further-attempt", f.denied.String())
	}
	f.gate.keyStateOf(in.identity, in.version).applyTo(&r)
	if f.known().MayHaveRun() {
		r.status, r.retryAfter = http.StatusBadGateway, 0
		if !time.Now().Before(in.giveUpAt()) {
			r.status = http.StatusGatewayTimeout
		}
	}
	f.gate.refuse(w, r)
}

// outcomeOf classifies the result of an exchange by what it says about the leaf.
func (g *Gatekeeper) outcomeOf(result exchanger.Result) placer.Outcome {
	switch {
	case errors.Is(result.Err, exchanger.ErrQuotaExceeded):
		return placer.Dropped
	case errors.Is(result.Err, exchanger.ErrNoSocket):
		return placer.Unopened
	case errors.Is(result.Err, exchanger.ErrNotPermitted):
		return placer.NotPermitted
	case errors.Is(result.Err, exchanger.ErrResting):
		return placer.Resting
	}
	if result.Response == nil {
		if result.Progress.MayHaveArrived() {
			return placer.Failed
		}
		return placer.Unreachable
	}
	status := result.Status()
	switch {
	case status == http.StatusMisdirectedRequest:
		return placer.Replaced
	case result.IsRefusal():
		return placer.Refused
	case status == http.StatusGatewayTimeout:
		return placer.LeafTimedOut
	case status >= http.StatusInternalServerError || isSuccess(status) && !g.hasProof(result):
		return placer.Failed
	}
	return placer.Answered
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// hasProof reports whether the response bears the proof of the leaf, without which a success must not reach the caller.
func (g *Gatekeeper) hasProof(result exchanger.Result) bool {
	return len(result.Response.Header.Peek(g.config.Headers.Proof)) > 0
}

// failureReason returns why an attempt brought no response to forward.
func failureReason(result exchanger.Result) string {
	switch {
	case errors.Is(result.Err, exchanger.ErrNotPermitted):
		return reasonRateLimit
	case errors.Is(result.Err, exchanger.ErrResting):
		return reasonRest
	case result.Response == nil && !result.Progress.MayHaveArrived():
		return "the leaf could not be reached"
	case result.Response == nil:
		return "the leaf broke off"
	case result.IsRefusal():
		return "the leaf refused"
	}
	return "the leaf failed"
}
