package promoter

import (
	"slices"
	"strings"
)

const (
	// maxRoutes limits the routes of one Evidence. The routes beyond it are counted as one.
	maxRoutes = 64
	// OtherRoutes is the name under which the routes beyond a limit are counted together.
	OtherRoutes = "(other routes)"
)

// Add returns the sum of two reports on the same roll-out.
func (e Evidence) Add(other Evidence) Evidence {
	sum := e
	sum.Routes = slices.Clone(e.Routes)
	sum.Merge(other)
	return sum
}

// Merge adds another report on the same roll-out. The routes of the other one are copied.
func (e *Evidence) Merge(other Evidence) {
	e.Service, e.Order = other.Service, other.Order
	e.Sent += other.Sent
	e.SentNew += other.SentNew
	e.OldInProgress += other.OldInProgress
	for _, route := range other.Routes {
		e.addRoute(route)
	}
}

// Total returns the sum over all routes.
func (e Evidence) Total() RouteEvidence {
	var total RouteEvidence
	for _, route := range e.Routes {
		total.Old, total.New = total.Old.Add(route.Old), total.New.Add(route.New)
	}
	return total
}

func (e *Evidence) addRoute(route RouteEvidence) {
	index, isKnown := e.find(route.Route)
	if !isKnown && len(e.Routes) >= maxRoutes {
		route.Route = OtherRoutes
		index, isKnown = e.find(route.Route)
	}
	if !isKnown {
		e.Routes = slices.Insert(e.Routes, index, route)
		return
	}
	e.Routes[index].Old = e.Routes[index].Old.Add(route.Old)
	e.Routes[index].New = e.Routes[index].New.Add(route.New)
}

func (e *Evidence) find(route string) (index int, isKnown bool) {
	return slices.BinarySearchFunc(e.Routes, route, func(known RouteEvidence, name string) int { return strings.Compare(known.Route, name) })
}
