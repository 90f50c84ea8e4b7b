package router

import (
	"math"
	"time"
)

// unequalObjectives is the ratio of the objectives of two routes over the same service from which on their requests compete: the operators
// state by it that the cheap ones must not wait behind the dear ones.
const unequalObjectives = 3

// Competition describes the requests that share the leafs of one service.
type Competition struct {
	// TopPriority is the priority of the most urgent requests.
	TopPriority int
	// Shortest and Longest are the extremes of the objectives.
	Shortest, Longest time.Duration
	// HasTenants is set if requests of several tenants share the leafs.
	HasTenants bool
}

// Competes reports whether the requests compete for room: tenants share the leafs, or routes of very unequal objectives.
func (c Competition) Competes() bool {
	return c.HasTenants || c.Longest >= unequalObjectives*c.Shortest
}

// Competitions returns the competition for each service to which the routes send requests, of shards and of plain routes.
func (t *Table) Competitions() map[string]Competition {
	competitions := map[string]Competition{}
	for _, prefixes := range t.routes {
		for _, route := range prefixes {
			objective, priority := route.Objective(), t.topPriority(route)
			for _, name := range targetServices(route.fields) {
				known, ok := competitions[name]
				if !ok {
					known = Competition{TopPriority: priority, Shortest: objective, Longest: objective, HasTenants: t.HasTenants()}
				}
				known.TopPriority = min(known.TopPriority, priority)
				known.Shortest, known.Longest = min(known.Shortest, objective), max(known.Longest, objective)
				competitions[name] = known
			}
		}
	}
	return competitions
}

// topPriority returns the priority of the most urgent requests on a route. That of the tenant goes before that of the route.
func (t *Table) topPriority(route *Route) int {
	top := math.MaxInt
	for _, tenant := range t.tenants {
		priority, ok := tenant.Priority()
		if !ok {
			priority = route.Priority()
		}
		top = min(top, priority)
	}
	if len(t.tenants) == 0 || route.IsAnonymous() {
		top = min(top, route.Priority())
	}
	return top
}
