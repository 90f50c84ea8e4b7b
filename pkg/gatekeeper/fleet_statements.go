// A leaf states in its responses how many requests it takes, that it is
// leaving, and for how long it wants no requests from this instance. The
// connections report each statement here, also those in the responses to
// requests that were abandoned.

package gatekeeper

import (
	"time"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/limiter"
	"lovagedeck/pkg/spreader"
)

// OnStatement records what a response states about its leaf.
func (g leafGate) OnStatement(statement exchanger.Statement) {
	f, u := g.fleet, g.upstream
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.onStatedRate(u, statement, now)
	f.onStatedRest(u, statement, now)
	f.onStatedLeaving(u, statement, now)
}

// onStatedRate records the rate limit of a leaf. Only an executed request shows the end of a limit.
func (f *fleet) onStatedRate(u *upstream, statement exchanger.Statement, now time.Duration) {
	stated := statement.RateLimit
	f.logProblem(u, &u.hasRateProblem, "gatekeeper: rate limit of leaf is invalid", stated.Problem, statement.RequestID)
	if !stated.IsNamed && (stated.Problem != "" || !statement.HasRun) {
		return
	}
	change := u.leaf.OnRateLimit(stated.IsNamed, stated.PerSecond, now-statement.ResponseTime, now)
	f.onRateLimitChange(u, change, statement.RequestID, now)
	if change == limiter.Unchanged {
		return
	}
	limit := u.leaf.RateLimit()
	f.permits.Report(u.leaf.Fields().ID, u.leaf.Fields().DataCentre, limit)
	if f.publish != nil {
		f.publish(spreader.NewRateLimit(u.leaf.Fields().ID, limit.IsLimited(), limit.PerSecond(), limit.SeenAt()))
	}
}

// onStatedRest records for how long a leaf wants no requests from this instance.
func (f *fleet) onStatedRest(u *upstream, statement exchanger.Statement, now time.Duration) {
	rest, fields := statement.Rest, u.leaf.Fields()
	f.logProblem(u, &u.hasRestProblem, "gatekeeper: rest asked for by leaf is invalid", rest.Problem, statement.RequestID)
	if rest.For <= 0 {
		return
	}
	u.leaf.OnRestRequested(now + rest.For)
	u.pool.Rest(rest.For)
	f.hasSeenRateLimit = true
	f.log.Info("gatekeeper: leaf asks for rest", "leaf", fields.ID, "service", fields.Service, "data-centre", fields.DataCentre,
		"for-ms", rest.For.Milliseconds(), "request", statement.RequestID)
}

// onStatedLeaving records that a leaf is leaving, or no longer is. Requests that wait for a connection go to other leafs.
func (f *fleet) onStatedLeaving(u *upstream, statement exchanger.Statement, now time.Duration) {
	if !u.leaf.OnLeavingStated(statement.IsLeaving, now-statement.ResponseTime, now) {
		return
	}
	fields := u.leaf.Fields()
	if statement.IsLeaving {
		f.onDraining(u)
	}
	f.suspendPool(u)
	f.log.Info("gatekeeper: leaving stated by leaf", "leaving", statement.IsLeaving, "leaf", fields.ID, "service", fields.Service, "data-centre", fields.DataCentre,
		"listed", fields.IsDraining, "request", statement.RequestID)
}

// endRefutedBeliefs ends what former processes of leafs stated, where the list as read at readAt speaks against it.
func (f *fleet) endRefutedBeliefs(readAt time.Duration) {
	now, hasChanged := f.now(), false
	for _, u := range f.leafs {
		if u.leaf.OnListed(readAt) {
			f.onRestarted(u, readAt, now)
			hasChanged = true
		}
	}
	if hasChanged {
		f.allocate()
		f.requestPrewarm()
	}
}

// onRestarted lets requests go to a leaf that has started again.
func (f *fleet) onRestarted(u *upstream, readAt, now time.Duration) {
	u.pool.EndRest()
	fields := u.leaf.Fields()
	f.log.Info("gatekeeper: leaf has started again", "leaf", fields.ID, "service", fields.Service, "data-centre", fields.DataCentre,
		"listed", fields.IsDraining, "leaving", u.leaf.IsDraining(), "list-age-ms", (now - readAt).Milliseconds())
}

// logProblem logs the first invalid statement of each leaf and kind.
func (f *fleet) logProblem(u *upstream, hasProblem *bool, message, problem, requestID string) {
	if problem == "" || *hasProblem {
		return
	}
	*hasProblem = true
	fields := u.leaf.Fields()
	f.log.Info(message, "leaf", fields.ID, "service", fields.Service, "request", requestID, "problem", problem)
}
