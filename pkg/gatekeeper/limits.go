package gatekeeper

import (
	"time"

	"lovagedeck/pkg/router"
)

// limits returns the limits on requests in force.
func (g *Gatekeeper) limits() router.Limits {
	if table := g.table.Load(); table != nil {
		return table.Limits()
	}
	return router.Limits{}
}

func maxBodyBytes(table *router.Table) int {
	if limit := table.Limits().MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// giveUpAt returns the time by which the request must be answered.
func (in *inboundRequest) giveUpAt() time.Time {
	return giveUpTime(in.route, in.arrivedAt, in.deadline)
}

func giveUpTime(route *router.Route, arrived, deadline time.Time) time.Time {
	giveUp := deadline.Add(-responseMargin)
	if routeEnd := arrived.Add(route.Timeout()); routeEnd.Before(giveUp) {
		return routeEnd
	}
	return giveUp
}
