package gatekeeper

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/router"
)

func TestScatter(t *testing.T) {
	shards := []string{"s1", "s2", "s3", "s4"}
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	cases := []struct {
		name     string
		handlers map[int]http.HandlerFunc
		status   int
		missing  string
		proofs   int
	}{
		{"all parts", nil, 200, "0", 4},
		{"failing shard is left out", map[int]http.HandlerFunc{2: respondWithStatus(500)}, 200, "1", 3},
		{"shard that does not answer is left out", map[int]http.HandlerFunc{2: hang}, 200, "1", 3},
		{"too few parts fail the query", map[int]http.HandlerFunc{1: respondWithStatus(500), 2: respondWithStatus(500)}, 502, "", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tier := newTier(t, shards...)
			for i, leaf := range tier.leafs {
				record := bytes.Repeat([]byte{byte('a' + i)}, 16)
				leaf.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(append(record, "rest"...)) })
				if handler := c.handlers[i]; handler != nil {
					leaf.setHandler(handler)
				}
			}
			tier.setRoute(router.RouteFields{
				Name: "sweep", Shards: shards, MaxAttempts: 2, Idempotent: true, Objective: 150 * time.Millisecond, TopRecords: 2, MinCoverage: 0.75,
			})
			response, body := tier.request(http.MethodGet, "/p/x", nil)
			if response == nil || response.StatusCode != c.status {
				t.Fatalf("got %v, want status %d", response, c.status)
			}
			if c.status != http.StatusOK {
				return
			}
			proofs := strings.Split(response.Header.Get("Proofs"), ", ")
			if response.Header.Get("Missing-Parts") != c.missing || len(proofs) != c.proofs {
				t.Errorf("got %q missing parts and proofs %v, want %q missing parts and %d proofs", response.Header.Get("Missing-Parts"), proofs, c.missing, c.proofs)
			}
			secondRecord := byte('c')
			if c.proofs == 3 {
				secondRecord = 'b'
			}
			if want := append(bytes.Repeat([]byte{'d'}, 16), bytes.Repeat([]byte{secondRecord}, 16)...); !bytes.Equal(body, want) {
				t.Errorf("got body %q, want %q", body, want)
			}
		})
	}
}

func TestSlowLeafIsHedged(t *testing.T) {
	tier := newTier(t, "s1", "s1")
	var first atomic.Bool
	for _, leaf := range tier.leafs {
		leaf.setHandler(func(w http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(false, true) {
				<-r.Context().Done()
				return
			}
			_, _ = io.WriteString(w, "0123456789abcdef")
		})
	}
	tier.setRoute(router.RouteFields{
		Name: "sweep", Shards: []string{"s1"}, MaxAttempts: 2, Idempotent: true, Objective: 300 * time.Millisecond, TopRecords: 1, MinCoverage: 1,
	})
	start := time.Now()
	response, _ := tier.request(http.MethodGet, "/p/x", nil)
	if response == nil || response.StatusCode != http.StatusOK || time.Since(start) > 290*time.Millisecond {
		t.Errorf("got %v after %v, want status 200 within 290ms", response, time.Since(start))
	}
}

// After a restart of all instances, every leaf of a shard refuses its first request. The query must retry the shard after a backoff.
func TestShardIsRetriedAfterAllLeafsRefuse(t *testing.T) {
	tier := newTier(t, "s1", "s1", "s2")
	for _, leaf := range tier.leafs[:2] {
		var calls atomic.Int64
		leaf.setHandler(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				refuseNotRun(w, r)
				return
			}
			_, _ = io.WriteString(w, "0123456789abcdef")
		})
	}
	tier.setRoute(router.RouteFields{
		Name: "sweep", Shards: []string{"s1", "s2"}, MaxAttempts: 2, Idempotent: true, Objective: 500 * time.Millisecond, TopRecords: 2, MinCoverage: 1,
	})
	if response, _ := tier.request(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode != http.StatusOK {
		t.Errorf("got %v, want status 200 with the parts of both shards", response)
	}
}

// The only leaf of a required shard has run the request and failed, so no further part is possible. The query must fail at once
// instead of at the deadline of the caller.
func TestQueryFailsOnceAllLeafsOfShardFailed(t *testing.T) {
	tier := newTier(t, "s1", "s2")
	tier.leafs[0].setHandler(respondWithStatus(http.StatusInternalServerError))
	tier.setRoute(router.RouteFields{
		Name: "sweep", Shards: []string{"s1", "s2"}, MaxAttempts: 2, Idempotent: true, Objective: 500 * time.Millisecond, TopRecords: 2, MinCoverage: 1,
	})
	start := time.Now()
	if response, _ := tier.request(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode != http.StatusBadGateway {
		t.Errorf("got %v, want status 502", response)
	}
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("query failed after %v, want at most 200ms", took)
	}
}

// All leafs of two shards are removed from the list, so an answer is impossible. The query must be refused with a Retry-After
// header before any leaf runs it.
func TestQueryWithTooFewPlaceableShardsIsRefused(t *testing.T) {
	tier := newTier(t, "s1", "s2", "s3", "s4")
	remaining := tier.leafs[:2]
	tier.setRoute(router.RouteFields{
		Name: "sweep", Shards: []string{"s1", "s2", "s3", "s4"}, MaxAttempts: 2, Idempotent: true, Objective: 500 * time.Millisecond,
		TopRecords: 2, MinCoverage: 0.75,
	})
	tier.leafs = remaining
	tier.publishRoster()
	start := time.Now()
	response, _ := tier.request(http.MethodGet, "/p/x", nil)
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v, want status 503 with Retry-After", response)
	}
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("query refused after %v, want at most 200ms", took)
	}
	for _, leaf := range remaining {
		if runs := leaf.runs.Load(); runs != 0 {
			t.Errorf("leaf %s ran %d requests of a query refused as not run, want 0", leaf.id, runs)
		}
		if running := tier.gate.fleet.leafs[leaf.id].leaf.Running(); running != 0 {
			t.Errorf("leaf %s counts %d running requests, want 0", leaf.id, running)
		}
	}
}

// The leafs of a shard have crashed, and each query retries them several times. A query must add only one request to the base of
// the retry budget, or its failed attempts would allow further retries.
func TestUnreachableAttemptsDoNotRaiseRetryBudget(t *testing.T) {
	const queries = 10
	tier := newTier(t, "s1", "s2")
	tier.gate.fleet.retryLimit = hedger.RetryLimit{Ratio: 0.2, Window: 10 * time.Second}
	_ = tier.leafs[0].server.Close()
	tier.setRoute(router.RouteFields{
		Name: "sweep", Shards: []string{"s1", "s2"}, MaxAttempts: 2, Idempotent: true, Objective: 500 * time.Millisecond, TopRecords: 2, MinCoverage: 1,
	})
	for range queries {
		if response, _ := tier.request(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode == http.StatusOK {
			t.Fatalf("got %v, want an error status", response)
		}
	}
	fleet := tier.gate.fleet
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	allowed := 0
	for fleet.services["s1"].budget.Take(fleet.now()) {
		allowed++
	}
	if limit := queries / 5; allowed > limit {
		t.Errorf("got %d retries allowed after %d requests, want at most %d", allowed, queries, limit)
	}
}
