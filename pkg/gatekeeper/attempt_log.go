// Log lines about single requests. Each one names the request, so that a search
// over the logs of all instances shows the history of the request:
//
//	{"msg":"gatekeeper: attempt ended","request":"9c41","service":"s1","leaf":"i-7f3a","outcome":"failed","status":500,...}

package gatekeeper

import (
	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/placer"
)

// logExtraAttempt logs a hedge or retry with the known state of its leaf.
func (g *Gatekeeper) logExtraAttempt(in *inboundRequest, a *attempt, kind, reason string) {
	fields := a.upstream.leaf.Fields()
	stats := g.fleet.leafStats(a)
	g.config.Log.WithValues(a.describeVersion()...).Info("gatekeeper: another attempt", "request", in.id, "kind", kind, "why", reason, "route", in.route.Name(),
		"version", in.version, "service", fields.Service, "leaf", fields.ID, "data-centre", fields.DataCentre,
		"running", stats.Running, "limit", stats.Limit, "slowness", stats.Slowness, "faults", stats.FailureRate)
}

// logAttemptEnd logs an attempt without a usable response, or with the status of a refusal. Successful attempts appear in the log line
// of the request.
func (g *Gatekeeper) logAttemptEnd(in *inboundRequest, a *attempt, outcome placer.Outcome, result exchanger.Result) {
	if outcome == placer.Answered && !statesNotRun(result.Status()) {
		return
	}
	fields := a.upstream.leaf.Fields()
	cause := ""
	if result.Err != nil {
		cause = result.Err.Error()
	}
	g.config.Log.WithValues(a.describeVersion()...).Info("gatekeeper: attempt ended", "request", in.id, "outcome", outcome.String(), "status", result.Status(),
		"sent", result.Progress.MayHaveArrived(), "known", result.Progress.String(), "error", cause, "service", fields.Service, "leaf", fields.ID, "data-centre", fields.DataCentre,
		"address", fields.Address, "queued-ms", result.QueueTime.Milliseconds(), "leaf-ms", result.ResponseTime.Milliseconds())
}
