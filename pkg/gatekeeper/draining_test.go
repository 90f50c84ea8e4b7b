package gatekeeper

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/router"
)

// Above the capacity of the leafs, requests that were placed on a leaving leaf as a last resort waited for its last connections without
// limit, and reached it long after it began to leave. An instance that has just started sent requests to leafs that were leaving already.
func TestLeavingLeafGetsNothingAfterGrace(t *testing.T) {
	const work, callers = 400 * time.Millisecond, 12
	cases := []struct {
		name string
		// isNew lists the leaf as leaving from the beginning.
		isNew bool
		// latest is the time after the list until which requests may arrive.
		latest time.Duration
	}{
		{"began to leave", false, placer.DrainingGrace},
		{"was leaving when the instance started", true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tier := serveTier(t, New(testConfig()))
			tier.leafs = append(tier.leafs, newTestLeaf(t, "card-0", "card"))
			var mu sync.Mutex
			var arrivals []time.Time
			tier.leafs[0].setHandler(func(w http.ResponseWriter, _ *http.Request) {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
				time.Sleep(work)
				_, _ = io.WriteString(w, "whole")
			})
			if !c.isNew {
				tier.publishRoster()
			}
			tier.setRoute(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1, Timeout: 10 * time.Second, Objective: 200 * time.Millisecond})
			listedAt := time.Now()
			tier.publishLeafs(true)
			var group sync.WaitGroup
			var statuses [600]int
			for range callers {
				group.Go(func() {
					for time.Since(listedAt) < placer.DrainingGrace+2*work {
						response := sendRaw(tier.connect(), rawRequest("POST", 10*time.Second))
						if response == nil {
							t.Error("the connection ended without a response")
							return
						}
						mu.Lock()
						statuses[response.StatusCode]++
						mu.Unlock()
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			group.Wait()
			// The list takes effect, and the last request travels, within a moment.
			const margin = 150 * time.Millisecond
			for _, at := range arrivals {
				if after := at.Sub(listedAt); after > c.latest+margin {
					t.Errorf("a request reached the leaf %v after it was listed as leaving, want %v at most", after, c.latest)
				}
			}
			if statuses[http.StatusServiceUnavailable] == 0 || !c.isNew && statuses[http.StatusOK] == 0 {
				t.Errorf("got %d answers and %d refusals, want both, or refusals only from a new instance", statuses[http.StatusOK], statuses[http.StatusServiceUnavailable])
			}
		})
	}
}

// An instance that had fetched the list itself took over an older one of a control instance, on which a leaf did not leave yet, and sent
// requests to it.
func TestListReadEarlierIsIgnored(t *testing.T) {
	const own, earlier, later = 20 * time.Second, 15 * time.Second, 25 * time.Second
	tier := newTier(t, "s")
	f := tier.gate.fleet
	listed := func(sequence uint64, readAt time.Duration, isLeaving bool) lister.Roster {
		leaf := lister.RosterLeaf{ID: "leaf-1", Service: "s", DataCentre: "a", Address: "127.0.0.1:1", Slots: 2, Leaving: isLeaving}
		return lister.Roster{Stamp: lister.RosterStamp{Sequence: sequence}, Leafs: []lister.RosterLeaf{leaf}, ReadAt: readAt}
	}
	isDraining := func() bool { return f.leafs["leaf-1"].leaf.IsDraining() }
	tier.gate.SetRoster(listed(1, earlier-time.Second, false))
	tier.gate.SetRoster(listed(0, own, true))
	tier.gate.SetRoster(listed(2, earlier, false))
	if !isDraining() {
		t.Error("a list that was read earlier replaced the one in use")
	}
	stamp := lister.RosterStamp{Sequence: 2}
	if !tier.gate.ConfirmRoster(stamp, earlier) {
		t.Error("a list that was read earlier is asked for again")
	}
	if tier.gate.ConfirmRoster(stamp, later) {
		t.Error("a list that was read again, later than the one in use, is not asked for")
	}
	tier.gate.SetRoster(listed(2, later, false))
	if isDraining() || !tier.gate.ConfirmRoster(stamp, later+time.Second) {
		t.Error("the list that was read later is not in use")
	}
}
