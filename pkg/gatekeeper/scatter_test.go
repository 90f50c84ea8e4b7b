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
		name    string
		handles map[int]http.HandlerFunc
		status  int
		missing string
		proofs  int
	}{
		{"all parts", nil, 200, "0", 4},
		{"a failing shard is left out", map[int]http.HandlerFunc{2: status(500)}, 200, "1", 3},
		{"a silent shard is left out", map[int]http.HandlerFunc{2: hang}, 200, "1", 3},
		{"too few parts is no answer", map[int]http.HandlerFunc{1: status(500), 2: status(500)}, 502, "", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tier := newTier(t, shards...)
			for i, leaf := range tier.leafs {
				record := bytes.Repeat([]byte{byte('a' + i)}, 16)
				leaf.set(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(append(record, "rest"...)) })
				if handle := c.handles[i]; handle != nil {
					leaf.set(handle)
				}
			}
			tier.route(router.RouteFields{
				Name: "sweep", Shards: shards, MaxAttempts: 2, Idempotent: true, Objective: 150 * time.Millisecond, TopRecords: 2, MinCoverage: 0.75,
			})
			response, body := tier.ask(http.MethodGet, "/p/x", nil)
			if response == nil || response.StatusCode != c.status {
				t.Fatalf("got %v, want status %d", response, c.status)
			}
			if c.status != http.StatusOK {
				return
			}
			proofs := strings.Split(response.Header.Get("Proofs"), ", ")
			if response.Header.Get("Missing-Parts") != c.missing || len(proofs) != c.proofs {
				t.Errorf("missing %q, proofs %v", response.Header.Get("Missing-Parts"), proofs)
			}
			second := byte('c')
			if c.proofs == 3 {
				second = 'b'
			}
			if want := append(bytes.Repeat([]byte{'d'}, 16), bytes.Repeat([]byte{second}, 16)...); !bytes.Equal(body, want) {
				t.Errorf("body %q, want %q", body, want)
			}
		})
	}
}

func TestSlowLeafIsAskedAgainElsewhere(t *testing.T) {
	tier := newTier(t, "s1", "s1")
	var first atomic.Bool
	for _, leaf := range tier.leafs {
		leaf.set(func(w http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(false, true) {
				<-r.Context().Done()
				return
			}
			_, _ = io.WriteString(w, "0123456789abcdef")
		})
	}
	tier.route(router.RouteFields{
		Name: "sweep", Shards: []string{"s1"}, MaxAttempts: 2, Idempotent: true, Objective: 300 * time.Millisecond, TopRecords: 1, MinCoverage: 1,
	})
	begun := time.Now()
	response, _ := tier.ask(http.MethodGet, "/p/x", nil)
	if response == nil || response.StatusCode != http.StatusOK || time.Since(begun) > 290*time.Millisecond {
		t.Errorf("got %v after %v, want an answer within the objective", response, time.Since(begun))
	}
}

// All instances start again at once, and every leaf of a shard refuses for a moment.
func TestShardIsTriedAgainAfterAMoment(t *testing.T) {
	tier := newTier(t, "s1", "s1", "s2")
	for _, leaf := range tier.leafs[:2] {
		var calls atomic.Int64
		leaf.set(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				shed(w, r)
				return
			}
			_, _ = io.WriteString(w, "0123456789abcdef")
		})
	}
	tier.route(router.RouteFields{
		Name: "sweep", Shards: []string{"s1", "s2"}, MaxAttempts: 2, Idempotent: true, Objective: 500 * time.Millisecond, TopRecords: 2, MinCoverage: 1,
	})
	if response, _ := tier.ask(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode != http.StatusOK {
		t.Errorf("got %v, want the answer of both shards", response)
	}
}

// The only leaf of a shard has run the request and failed: nothing can come any more, and the caller has most of its time left.
func TestQueryEndsOnceAllLeafsOfAShardFailed(t *testing.T) {
	tier := newTier(t, "s1", "s2")
	tier.leafs[0].set(status(http.StatusInternalServerError))
	tier.route(router.RouteFields{
		Name: "sweep", Shards: []string{"s1", "s2"}, MaxAttempts: 2, Idempotent: true, Objective: 500 * time.Millisecond, TopRecords: 2, MinCoverage: 1,
	})
	began := time.Now()
	if response, _ := tier.ask(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode != http.StatusBadGateway {
		t.Errorf("got %v, want a failure", response)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("failed after %v", took)
	}
}

// All leafs of two shards are gone from the list: the query cannot be answered whatever comes, and has not run.
func TestQueryWithoutLeafsForItsShardsIsRefusedAtOnce(t *testing.T) {
	tier := newTier(t, "s1", "s2", "s3", "s4")
	left := tier.leafs[:2]
	tier.route(router.RouteFields{
		Name: "sweep", Shards: []string{"s1", "s2", "s3", "s4"}, MaxAttempts: 2, Idempotent: true, Objective: 500 * time.Millisecond,
		TopRecords: 2, MinCoverage: 0.75,
	})
	tier.leafs = left
	tier.list()
	began := time.Now()
	response, _ := tier.ask(http.MethodGet, "/p/x", nil)
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v, want a refusal with a time to come back", response)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	for _, leaf := range left {
		if runs := leaf.runs.Load(); runs != 0 {
			t.Errorf("leaf %s ran a query that was refused as not run", leaf.id)
		}
		if running := tier.gate.fleet.leafs[leaf.id].leaf.Running(); running != 0 {
			t.Errorf("%d requests still count at leaf %s", running, leaf.id)
		}
	}
}

// The leafs of a shard have crashed, and each query tries them again and again: that is one request for the retry budget.
func TestTriesThatReachNoLeafEarnNoRetries(t *testing.T) {
	const queries = 10
	tier := newTier(t, "s1", "s2")
	tier.gate.fleet.budget = hedger.SharedBound{Ratio: 0.2, Window: 10 * time.Second}
	_ = tier.leafs[0].server.Close()
	tier.route(router.RouteFields{
		Name: "sweep", Shards: []string{"s1", "s2"}, MaxAttempts: 2, Idempotent: true, Objective: 500 * time.Millisecond, TopRecords: 2, MinCoverage: 1,
	})
	for range queries {
		if response, _ := tier.ask(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode == http.StatusOK {
			t.Fatalf("got %v, want a failure", response)
		}
	}
	fleet := tier.gate.fleet
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	taken := 0
	for fleet.services["s1"].allowance.Take(fleet.now()) {
		taken++
	}
	if limit := queries / 5; taken > limit {
		t.Errorf("%d retries are allowed after %d requests, more than %d", taken, queries, limit)
	}
}
