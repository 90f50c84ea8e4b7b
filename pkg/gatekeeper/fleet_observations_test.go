package gatekeeper

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"lovagedeck/pkg/recorder"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/spreader"
)

// Another instance saw a leaf fail: this one sends it nothing while there is another leaf, and its log says why.
func TestObservationOfAnotherInstanceIsActedOn(t *testing.T) {
	tier := newTier(t, "card", "card")
	var out lockedBuffer
	lines := recorder.New(&out)
	tier.gate.fleet.log = lines.Logger("entry", "info")
	tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
	tier.gate.TakeObservations([]spreader.Observation{
		{Leaf: "card-0", Slowness: 1, FailureRate: 0.6, SeenAt: tier.gate.config.Now()}, {Leaf: "unknown", FailureRate: 1},
	})
	for range 5 {
		if response, _ := tier.ask(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v", response)
		}
	}
	if runs := tier.leafs[0].runs.Load(); runs != 0 {
		t.Errorf("the leaf that fails got %d requests", runs)
	}
	_ = lines.Sync()
	if line := out.text(); !strings.Contains(line, "leaf believed by observation") || !strings.Contains(line, "card-0") {
		t.Errorf("the log does not name the observation: %s", line)
	}
}

// A leaf of one service fails, and the instance that sees it tells the others; one that finds most leafs slow keeps quiet.
func TestOwnObservationsAreTold(t *testing.T) {
	cases := []struct {
		name     string
		badShare float64
		want     bool
	}{
		{"a leaf fails", 0, true},
		{"most leafs look bad from here", 0.9, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tier := newTier(t, "card")
			tier.leafs[0].set(status(500))
			told := make(chan spreader.Observation, 4)
			tier.gate.fleet.tell = func(s spreader.Observation) { told <- s }
			tier.gate.fleet.badShare = c.badShare
			tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
			tier.ask(http.MethodGet, "/p/x", nil)
			select {
			case s := <-told:
				if !c.want || s.Leaf != "card-0" || s.FailureRate < 0.2 {
					t.Errorf("told %+v", s)
				}
			case <-time.After(100 * time.Millisecond):
				if c.want {
					t.Error("nobody was told")
				}
			}
		})
	}
}
