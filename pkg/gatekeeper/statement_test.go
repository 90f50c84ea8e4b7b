package gatekeeper

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"lovagedeck/pkg/router"
)

const (
	// restTolerance is the time after a statement in which requests under way may still arrive.
	restTolerance = 500 * time.Millisecond
	// maxArrivalsInRest is the number of requests that may reach a leaf of one instance while it rests.
	maxArrivalsInRest = 2
	restLeafHeader    = "Retry-After"
)

// arrivals holds the times at which requests reached a leaf.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

// observe wraps the handler of a leaf.
func (a *arrivals) observe(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.times = append(a.times, time.Now())
		a.mu.Unlock()
		handle(w, r)
	}
}

// countAfter returns the number of requests that arrived later than the given time after the first one.
func (a *arrivals) countAfter(delay time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, at := range a.times {
		if at.Sub(a.times[0]) > delay {
			count++
		}
	}
	return count
}

// askForRest refuses requests and states the given values of Retry-After.
func askForRest(values ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, value := range values {
			w.Header().Add(restLeafHeader, value)
		}
		refuseNotRun(w, r)
	}
}

func stateLeaving(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Leaving", "1")
	_, _ = w.Write(make([]byte, 16))
}

func restRoutes() []router.RouteFields {
	sweep := sweepRoute(shardNames(3))
	sweep.MinCoverage = 0.6
	return []router.RouteFields{sweep, cardRoute(true), cardRoute(false)}
}

// slowDownOtherLeafs makes all leafs but the first so slow that requests are hedged and the first one would be preferred.
func (g *gathererCluster) slowDownOtherLeafs() {
	for _, leaf := range g.leafs[1:] {
		leaf.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(150 * time.Millisecond)
			_, _ = w.Write(make([]byte, 16))
		})
	}
}

// A leaf turns requests away and asks for rest. Refused requests are retried, others hedged or queued; none of them may reach it.
func TestLeafThatAsksForRestGetsNoRequests(t *testing.T) {
	for _, fields := range restRoutes() {
		t.Run(fmt.Sprintf("%s, idempotent %v", fields.Name, fields.Idempotent), func(t *testing.T) {
			t.Parallel()
			g := newCluster(t, 1, shardNames(3)...)
			var resting arrivals
			g.leafs[0].setHandler(resting.observe(askForRest("2")))
			g.slowDownOtherLeafs()
			g.configure(t, fields)
			statuses := g.callAll(http.MethodPost, 1800*time.Millisecond)
			if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
				t.Errorf("got responses %v, want only 200: other leafs have room", statuses)
			}
			if count := resting.countAfter(restTolerance); count > maxArrivalsInRest {
				t.Errorf("the leaf got %d requests while it rested, want at most %d", count, maxArrivalsInRest)
			}
		})
	}
}

// All leafs of a service rest. Its requests are refused at once, with the time until one of them takes requests again.
func TestRequestsAreRefusedAtOnceWhileAllLeafsRest(t *testing.T) {
	sweep := sweepRoute([]string{"s00"})
	for _, fields := range []router.RouteFields{sweep, cardRoute(true), cardRoute(false)} {
		t.Run(fmt.Sprintf("%s, idempotent %v", fields.Name, fields.Idempotent), func(t *testing.T) {
			t.Parallel()
			g := newCluster(t, 1, "s00")
			for i, leaf := range g.leafs {
				leaf.setHandler(askForRest([]string{"2", "7"}[i]))
			}
			g.configure(t, fields)
			g.callAll(http.MethodPost, 200*time.Millisecond)
			runsBefore, startedAt := g.runs(), time.Now()
			response, _ := g.request(http.MethodPost, "/p/x", nil)
			if response == nil || response.StatusCode != http.StatusServiceUnavailable || time.Since(startedAt) > 100*time.Millisecond {
				t.Fatalf("got %v after %v, want status 503 within 100ms", response, time.Since(startedAt))
			}
			if retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err != nil || retryAfter < 1.5 || retryAfter > 3 {
				t.Errorf("got Retry-After %q, want the rest of the first leaf, 1.8s, or up to half more", response.Header.Get("Retry-After"))
			}
			if runs := g.runs() - runsBefore; runs != 0 {
				t.Errorf("the resting leafs got %d requests, want 0", runs)
			}
		})
	}
}

// A query whose answer does not need the resting shard is answered without it.
func TestQueryIsPartialWhileShardRests(t *testing.T) {
	fields := restRoutes()[0]
	g := newCluster(t, 1, shardNames(3)...)
	for _, leaf := range g.leafs[:2] {
		leaf.setHandler(askForRest("3"))
	}
	g.configure(t, fields)
	g.callAll(http.MethodGet, 200*time.Millisecond)
	runsBefore := g.leafs[0].runs.Load() + g.leafs[1].runs.Load()
	response, _ := g.request(http.MethodGet, "/p/x", nil)
	if response == nil || response.StatusCode != http.StatusOK || response.Header.Get("Missing-Parts") != "1" {
		t.Errorf("got %v, want status 200 with one missing part", response)
	}
	if runs := g.leafs[0].runs.Load() + g.leafs[1].runs.Load() - runsBefore; runs != 0 {
		t.Errorf("the resting leafs got %d requests, want 0", runs)
	}
}

// Invalid values change nothing but the log.
func TestInvalidRestChangesNothing(t *testing.T) {
	for _, values := range [][]string{{"0"}, {"-1"}, {"NaN"}, {"1e300"}, {"99999999999999999999"}, {"Fri, 04 Dec 2026 20:00:00 GMT"}, {"0x10"}, {""}} {
		t.Run(fmt.Sprint(values), func(t *testing.T) {
			t.Parallel()
			g := newCluster(t, 1, "s00")
			for _, leaf := range g.leafs {
				leaf.setHandler(askForRest(values...))
			}
			g.configure(t, cardRoute(true))
			g.request(http.MethodPost, "/p/x", nil)
			runsBefore := g.runs()
			g.request(http.MethodPost, "/p/x", nil)
			if g.runs() == runsBefore {
				t.Error("no leaf got the second request")
			}
		})
	}
}

// A leaf states that it is leaving before the list of leafs shows it.
func TestLeafThatStatesLeavingGetsNoRequests(t *testing.T) {
	for _, fields := range restRoutes() {
		t.Run(fmt.Sprintf("%s, idempotent %v", fields.Name, fields.Idempotent), func(t *testing.T) {
			t.Parallel()
			g := newCluster(t, 1, shardNames(3)...)
			var leaving arrivals
			g.leafs[0].setHandler(leaving.observe(stateLeaving))
			g.slowDownOtherLeafs()
			g.configure(t, fields)
			time.AfterFunc(time.Second, g.publishRoster)
			if statuses := g.callAll(http.MethodPost, 2500*time.Millisecond); len(statuses) != 1 || statuses[http.StatusOK] == 0 {
				t.Errorf("got responses %v, want only 200", statuses)
			}
			if count := leaving.countAfter(restTolerance); count > 0 {
				t.Errorf("the leaf got %d requests after it stated that it is leaving, want 0", count)
			}
		})
	}
}
