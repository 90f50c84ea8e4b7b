package gatekeeper

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"lovagedeck/pkg/router"
)

const (
	// relayInstances is fewer than the instances of a data centre that gather shards for each other.
	relayInstances = 3
	// noticeTime is how long an instance may take to notice that it reaches no leaf. The users' bound is 4 s.
	noticeTime = time.Second
)

// callAll sends one request every 20 ms to the first instance for the given time and counts the responses by status.
func (g *gathererCluster) callAll(method string, duration time.Duration) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var callers sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		callers.Go(func() {
			response, _ := g.request(method, "/p/x", nil)
			mu.Lock()
			defer mu.Unlock()
			if response == nil {
				statuses[0]++
				return
			}
			statuses[response.StatusCode]++
		})
	}
	callers.Wait()
	return statuses
}

func cardRoute(idempotent bool) router.RouteFields {
	return router.RouteFields{Name: "card", Service: "s00", MaxAttempts: 2, Idempotent: idempotent, Objective: 300 * time.Millisecond}
}

// An instance reaches no leaf, while its callers and the other instances reach it.
func TestCallersOfInstanceWithoutLeafsAreServed(t *testing.T) {
	shards := shardNames(6)
	routes := []struct {
		name   string
		fields router.RouteFields
	}{
		{"query", sweepRoute(shards)},
		{"plain", cardRoute(true)},
		{"plain, not idempotent", cardRoute(false)},
	}
	modes := []struct {
		name string
		mode linkMode
	}{{"connections hang", linkHangs}, {"connections are reset", linkResets}}
	for _, route := range routes {
		for _, m := range modes {
			t.Run(fmt.Sprintf("%s, %s", route.name, m.name), func(t *testing.T) {
				t.Parallel()
				g := newCluster(t, relayInstances, shards...)
				g.answerWithServiceNumber()
				g.configure(t, route.fields)
				if statuses := g.callAll(http.MethodPost, 300*time.Millisecond); len(statuses) != 1 || statuses[http.StatusOK] == 0 {
					t.Fatalf("got responses %v before the cut, want only 200", statuses)
				}
				g.links[0].cut(m.mode)
				g.callAll(http.MethodPost, noticeTime)
				runsBefore := g.runs()
				statuses := g.callAll(http.MethodPost, time.Second)
				if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
					t.Errorf("got responses %v after %v, want only 200", statuses, noticeTime)
				}
				runs := g.runs() - runsBefore
				if want := int64(statuses[http.StatusOK]); !route.fields.Idempotent && runs != want {
					t.Errorf("leafs ran %d requests that are not idempotent, want %d, each once", runs, want)
				}
			})
		}
	}
}
