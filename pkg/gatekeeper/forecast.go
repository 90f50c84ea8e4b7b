// A request is explained by the same steps and decisions as it is served by,
// up to the choice of its leafs. Nothing is sent, counted, drawn or kept.

package gatekeeper

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"lovagedeck/pkg/accountant"
	"lovagedeck/pkg/forecaster"
	"lovagedeck/pkg/router"
)

// accountReader is implemented by Allowances that can tell what they know of the allowance of a tenant.
type accountReader interface {
	Account(tenant *router.Tenant, version uint64) accountant.Account
}

// Explain says where a request would go now, and why.
func (g *Gatekeeper) Explain(question forecaster.Question) forecaster.Reply {
	table := g.table.Load()
	if table == nil || !g.hasRoster.Load() {
		return forecaster.Reply{Problem: forecaster.ProblemNotReady, Message: fmt.Sprintf("instance %s does not know its routes and leafs yet; ask again in a few seconds, or another instance with --entry", g.config.Instance)}
	}
	route, ok := table.Match(question.Host, targetPath(question.Path))
	if !ok {
		return forecaster.Reply{Problem: forecaster.ProblemNoRoute, Message: fmt.Sprintf("no route: routing document %d at instance %s has none for this host and path, and such a request gets status 404; compare host and path with the document that is in force", table.Version(), g.config.Instance)}
	}
	if question.Shard != "" && !slices.Contains(route.Shards(), question.Shard) {
		return forecaster.Reply{Problem: forecaster.ProblemNoShard, Message: fmt.Sprintf("route %s has no shard %q; without --shard, all %d shards are explained in summary", route.Name(), question.Shard, len(route.Shards()))}
	}
	explanation := forecaster.Explanation{
		Instance: g.config.Instance, DataCentre: g.config.DataCentre, Route: newForecastRoute(route), Facts: g.fleet.facts(table.Version()), Notes: g.notes(),
	}
	who, reason := identifyKey(table, route, digestOf(question))
	explanation.Tenant = g.tenantOf(who, table.Version())
	switch {
	case reason != "":
		explanation.Refusal, explanation.Status = reason, http.StatusUnauthorized
	case g.isIntakeClosed.Load() || g.service.Err() != nil:
		explanation.Refusal, explanation.Status = reasonStopping, http.StatusServiceUnavailable
	case question.BodyBytes > maxBodyBytes(table):
		explanation.Refusal, explanation.Status = reasonBodyTooLarge, http.StatusRequestEntityTooLarge
	default:
		g.explainTargets(&explanation, &inboundRequest{route: route, identity: who}, question)
	}
	return forecaster.Reply{Explanation: explanation}
}

func (g *Gatekeeper) explainTargets(explanation *forecaster.Explanation, in *inboundRequest, question forecaster.Question) {
	f := g.fleet
	switch {
	case question.Shard != "":
		explanation.Targets = f.explainShard(in, question.Shard, question.BodyBytes)
	case in.route.Scatters():
		explanation.Query = f.explainQuery(in, question.BodyBytes)
	default:
		for _, target := range in.route.Targets() {
			for _, side := range f.explainService(in, target.Service, question.BodyBytes) {
				side.Share *= target.Share
				explanation.Targets = append(explanation.Targets, side)
			}
		}
	}
}

// notes returns the conditions of this instance that change the way of all requests.
func (g *Gatekeeper) notes() []string {
	var notes []string
	if g.drain.Load() != nil {
		notes = append(notes, "this instance stops: it is not ready, and takes only requests that can end in time")
	}
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers == nil {
		return notes
	}
	if share := f.detector.OwnShare(f.now()); share < 1 {
		notes = append(notes, fmt.Sprintf("reachability of leafs: %s; other instances serve %.0f%% of the requests, one of %v", f.detector.State(), 100*(1-share), f.helpers.names))
	}
	return notes
}

// facts returns what every explanation rests on.
func (f *fleet) facts(version uint64) []forecaster.Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	fact := func(name, value string, at time.Duration) forecaster.Fact {
		return forecaster.Fact{Name: name, Value: value, AgeMs: forecaster.Age(now - at)}
	}
	return []forecaster.Fact{
		fact("routing document", fmt.Sprintf("version %d learned", version), f.learnedAt.table),
		fact("list of leafs", fmt.Sprintf("%d leafs, as read", len(f.leafs)), f.learnedAt.readAt),
		fact("members and data centres", fmt.Sprintf("%d entry instances, changed", len(f.members)), f.learnedAt.view),
	}
}

func newForecastRoute(route *router.Route) forecaster.Route {
	fields := route.Fields()
	return forecaster.Route{
		Name: route.Name(), Host: fields.Host, Prefix: fields.Prefix, IsIdempotent: route.Idempotent(), ObjectiveMs: forecaster.Milliseconds(route.Objective()),
		TimeoutMs: forecaster.Milliseconds(route.Timeout()), MaxAttempts: route.MaxAttempts(),
	}
}

// tenantOf returns what this instance knows of the tenant and of its allowance.
func (g *Gatekeeper) tenantOf(who identity, version uint64) forecaster.Tenant {
	if who.tenant == nil {
		return forecaster.Tenant{}
	}
	tenant := forecaster.Tenant{Name: who.tenant.Name()}
	tenant.PerSecond, tenant.Burst = who.tenant.Allowance()
	reader, ok := g.allowances.(accountReader)
	if !ok || tenant.PerSecond <= 0 {
		return tenant
	}
	account := reader.Account(who.tenant, version)
	for _, responsible := range account.Responsible {
		tenant.Deciders = append(tenant.Deciders, forecaster.Instance{Name: responsible.Instance, IsAvailable: responsible.IsReachable})
	}
	tenant.Held, tenant.Level, tenant.Capacity = account.Held, account.Level, account.Capacity
	tenant.IsLevelKnown = account.HasLevel && len(account.Responsible) > 0 && account.Responsible[0].Instance == g.config.Instance
	return tenant
}

// digestOf returns the digest of the key that the request bears, or nil.
func digestOf(question forecaster.Question) *router.KeyDigest {
	if len(question.KeyDigest) == 0 {
		return nil
	}
	var digest router.KeyDigest
	copy(digest[:], question.KeyDigest)
	return &digest
}
