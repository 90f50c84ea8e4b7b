package gatekeeper

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/router"
)

// All instances lose power: a leaf still counts the connections that they kept while their successors open as many.
func TestAFleetFitsBesideItsPredecessors(t *testing.T) {
	cases := []struct {
		name string
		// instances and leafs count by data centre.
		instances, leafs []int
		connections      int
	}{
		{"87 instances, 66 connections", []int{24, 24, 20, 19}, []int{1, 1, 1, 0}, 66},
		{"64 instances, 54 connections", []int{22, 21, 21}, []int{1, 1, 1}, 54},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var locations []placer.Location
			counts := map[string]int{}
			for centre, instances := range c.instances {
				counts[fmt.Sprint(centre)] = instances
				for i := range c.leafs[centre] {
					locations = append(locations, placer.Location{ID: fmt.Sprint(centre, "-", i), DataCentre: fmt.Sprint(centre)})
				}
			}
			limits := placer.ConnectionLimits{Kept: int(keptShare * float64(c.connections)), Open: int(openShare * float64(c.connections))}
			kept := map[string]int{}
			rank := 0
			for centre, instances := range c.instances {
				for local := range instances {
					set := placer.InstanceSet{DataCentre: fmt.Sprint(centre), Instances: counts, Rank: rank, LocalRank: local}
					for id := range placer.Homes(locations, set, limits) {
						kept[id]++
					}
					rank++
				}
			}
			for id, count := range kept {
				if 2*count > c.connections {
					t.Errorf("leaf %s: %d connections are kept of %d, too many for a second fleet", id, count, c.connections)
				}
			}
		})
	}
}

// Callers stay with a part of the instances, and then all instances lose power: leafs go on counting connections that nobody
// used, and reset those that are needed.
func TestOnlyInstancesWithRequestsKeepConnections(t *testing.T) {
	tier := newTier(t, "card")
	fleet := tier.gate.fleet
	tier.route(router.RouteFields{Name: "card", Service: "card", Attempts: 1})
	if pools := fleet.coldPools(); len(pools) != 0 {
		t.Errorf("%d leafs get a connection before the first request", len(pools))
	}
	if response, _ := tier.ask(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got %v, want an answer", response)
	}
	if pools := fleet.coldPools(); len(pools) != 1 {
		t.Errorf("%d leafs get a connection while requests come, want 1", len(pools))
	}
	fleet.mu.Lock()
	now := fleet.now
	fleet.now = func() time.Duration { return now() + 2*fleet.budget.Window }
	fleet.mu.Unlock()
	fleet.setAllRequests(7)
	if pools := fleet.coldPools(); len(pools) != 0 {
		t.Errorf("%d leafs get a connection after a window without requests", len(pools))
	}
}
