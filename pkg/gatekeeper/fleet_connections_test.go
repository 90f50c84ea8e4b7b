package gatekeeper

import (
	"fmt"
	"net/http"
	"testing"

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

// All instances lose power, and callers come back to half of them: leafs still count the connections of the lost ones, and
// reset those that are needed if the other half opens as many ahead.
func TestInstanceWithoutRequestsOpensConnectionsLater(t *testing.T) {
	cases := []struct {
		name string
		run  func(tier *testTier)
		want int
	}{
		{"just after the start", func(*testTier) {}, 0},
		{"after a request", func(tier *testTier) {
			if response, _ := tier.ask(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode != http.StatusOK {
				t.Errorf("got %v, want an answer", response)
			}
		}, 1},
		{"some time after the start", func(tier *testTier) { tier.gate.fleet.openAhead() }, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tier := newTier(t, "card")
			tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
			c.run(tier)
			if pools := tier.gate.fleet.coldPools(); len(pools) != c.want {
				t.Errorf("%d leafs get a connection ahead, want %d", len(pools), c.want)
			}
		})
	}
}
