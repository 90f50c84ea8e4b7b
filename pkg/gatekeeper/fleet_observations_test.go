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

// Another instance has observed that a leaf fails. This instance must not use the leaf while there is another one, and
// must log the observation.
func TestRemoteObservationIsApplied(t *testing.T) {
	tier := newTier(t, "card", "card")
	var out lockedBuffer
	lines := recorder.New(&out)
	tier.gate.fleet.log = lines.Logger("entry", "info")
	tier.setRoute(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
	tier.gate.ApplyObservations([]spreader.Observation{
		{Leaf: "card-0", Slowness: 1, FailureRate: 0.6, SeenAt: tier.gate.config.Now()}, {Leaf: "unknown", FailureRate: 1},
	})
	for range 5 {
		if response, _ := tier.request(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got response %v, want status 200", response)
		}
	}
	if runs := tier.leafs[0].runs.Load(); runs != 0 {
		t.Errorf("got %d runs at the failing leaf, want 0", runs)
	}
	_ = lines.Sync()
	if line := out.text(); !strings.Contains(line, "leaf believed by observation") || !strings.Contains(line, "card-0") {
		t.Errorf("got log %q, want a line about the observation of card-0", line)
	}
}

// An instance publishes that a leaf fails, unless most leafs look slow from there, which indicates a fault of its own.
func TestLocalObservationIsPublished(t *testing.T) {
	cases := []struct {
		name          string
		slowShare     float64
		wantPublished bool
	}{
		{"leaf fails", 0, true},
		{"most leafs look slow", 0.9, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tier := newTier(t, "card")
			tier.leafs[0].setHandler(respondWithStatus(500))
			published := make(chan spreader.Observation, 4)
			tier.gate.fleet.publish = func(observation spreader.Observation) { published <- observation }
			tier.gate.fleet.slowShare = c.slowShare
			tier.setRoute(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
			tier.request(http.MethodGet, "/p/x", nil)
			select {
			case observation := <-published:
				if !c.wantPublished || observation.Leaf != "card-0" || observation.FailureRate < 0.2 {
					t.Errorf("got observation %+v, want one of card-0 with a failure rate of at least 0.2: %v", observation, c.wantPublished)
				}
			case <-time.After(100 * time.Millisecond):
				if c.wantPublished {
					t.Error("got no observation within 100ms, want one of card-0")
				}
			}
		})
	}
}
