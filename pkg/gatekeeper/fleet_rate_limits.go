// A leaf that is overloaded states how many requests a second it takes from all
// instances together.

package gatekeeper

import (
	"time"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/limiter"
	"lovagedeck/pkg/placer"
)

// recordRateLimit records what a response states about the rate limit of its leaf. Only an executed request shows the end of a
// limit, and a response of another leaf shows nothing.
func (f *fleet) recordRateLimit(a *attempt, outcome placer.Outcome, result exchanger.Result, requestID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if result.Response == nil || outcome == placer.Replaced {
		return
	}
	stated, u, now := result.RateLimit, a.upstream, f.now()
	f.logRateProblem(u, stated.Problem, requestID)
	if !stated.IsNamed && (stated.Problem != "" || outcome == placer.Refused) {
		return
	}
	change := u.leaf.OnRateLimit(stated.IsNamed, stated.PerSecond, now-result.ResponseTime, now)
	f.onRateLimitChange(u, change, requestID, now)
}

// onRateLimitChange logs a change of the rate limit of a leaf. The source is the request whose response stated the rate, or says
// how this instance learned of it.
func (f *fleet) onRateLimitChange(u *upstream, change limiter.Change, source string, now time.Duration) {
	if change == limiter.Unchanged {
		return
	}
	limit, fields := u.leaf.RateLimit(), u.leaf.Fields()
	f.log.Info("gatekeeper: rate limit of leaf", "leaf", fields.ID, "service", fields.Service, "data-centre", fields.DataCentre, "change", change.String(),
		"per-second", limit.PerSecond(), "age-ms", (now - limit.SeenAt()).Milliseconds(), "source", source)
}

// logRateProblem logs the first invalid rate of each leaf.
func (f *fleet) logRateProblem(u *upstream, problem, requestID string) {
	if problem == "" || u.hasRateProblem {
		return
	}
	u.hasRateProblem = true
	fields := u.leaf.Fields()
	f.log.Info("gatekeeper: rate limit of leaf is invalid", "leaf", fields.ID, "service", fields.Service, "request", requestID, "problem", problem)
}
