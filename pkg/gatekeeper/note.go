// Log lines of what happens to one request. They all name it, so that one
// search over the logs of all instances shows its course:
//
//	{"msg":"gatekeeper: attempt ended","request":"9c41","service":"s1","leaf":"i-7f3a","outcome":"failed","status":500,...}

package gatekeeper

import (
	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/placer"
)

// noteExtra logs a request to a second leaf, with what is known of that leaf.
func (g *Gatekeeper) noteExtra(in *inbound, a *attempt, kind, why string) {
	fields := a.upstream.leaf.Fields()
	picture := g.fleet.picture(a)
	g.config.Log.Info("gatekeeper: another attempt", "request", in.id, "kind", kind, "why", why, "route", in.route.Name(),
		"version", in.version, "service", fields.Service, "leaf", fields.ID, "data-centre", fields.DataCentre,
		"running", picture.Running, "limit", picture.Limit, "slowness", picture.Slowness, "faults", picture.Faults)
}

// noteEnd logs an attempt that brought no answer to use; the others are told by the line of the request.
func (g *Gatekeeper) noteEnd(in *inbound, a *attempt, outcome placer.Outcome, result exchanger.Result) {
	if outcome == placer.Answered {
		return
	}
	fields := a.upstream.leaf.Fields()
	cause := ""
	if result.Err != nil {
		cause = result.Err.Error()
	}
	g.config.Log.Info("gatekeeper: attempt ended", "request", in.id, "outcome", outcome.String(), "status", result.Status(),
		"sent", result.Sent, "error", cause, "service", fields.Service, "leaf", fields.ID, "data-centre", fields.DataCentre,
		"address", fields.Address, "queued-ms", result.Queued.Milliseconds(), "leaf-ms", result.Travelled.Milliseconds())
}
