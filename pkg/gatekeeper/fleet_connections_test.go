package gatekeeper

import (
	"fmt"
	"net/http"
	"testing"

	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/router"
)

// All instances lose power and restart. A leaf still counts the connections kept by the lost instances while the new
// instances open as many.
func TestKeptConnectionsLeaveRoomForRestart(t *testing.T) {
	cases := []struct {
		name string
		// instances and leafs are counts by data centre.
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
			limits := placer.ConnectionLimits{MaxIdle: int(keptConnectionShare * float64(c.connections)), MaxOpen: int(openConnectionShare * float64(c.connections))}
			kept := map[string]int{}
			rank := 0
			for centre, instances := range c.instances {
				for localRank := range instances {
					set := placer.InstanceSet{DataCentre: fmt.Sprint(centre), Instances: counts, Rank: rank, LocalRank: localRank}
					for id := range placer.Subset(locations, set, limits) {
						kept[id]++
					}
					rank++
				}
			}
			for id, count := range kept {
				if 2*count > c.connections {
					t.Errorf("leaf %s: got %d kept connections of %d, want at most half", id, count, c.connections)
				}
			}
		})
	}
}

// All instances lose power, and callers return to half of the new ones. Leafs still count the connections of the lost
// instances, and reset connections that callers need if the other half opens as many in advance.
func TestPrewarmWaitsForRequestOrDelay(t *testing.T) {
	cases := []struct {
		name string
		run  func(tier *testTier)
		want int
	}{
		{"right after the start", func(*testTier) {}, 0},
		{"after a request", func(tier *testTier) {
			if response, _ := tier.request(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode != http.StatusOK {
				t.Errorf("got response %v, want status 200", response)
			}
		}, 1},
		{"after the prewarm delay", func(tier *testTier) { tier.gate.fleet.startPrewarming() }, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tier := newTier(t, "card")
			tier.setRoute(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
			c.run(tier)
			if pools := tier.gate.fleet.poolsToPrewarm(); len(pools) != c.want {
				t.Errorf("got %d pools to prewarm, want %d", len(pools), c.want)
			}
		})
	}
}
