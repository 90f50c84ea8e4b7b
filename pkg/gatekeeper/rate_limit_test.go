package gatekeeper

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"lovagedeck/pkg/router"
)

// limitedLeaf is a leaf that states a rate limit and records when requests arrive.
type limitedLeaf struct {
	*testLeaf
	mu       sync.Mutex
	stated   string
	statedAt time.Time
	arrivals []time.Time
}

func limitLeaf(leaf *testLeaf) *limitedLeaf {
	l := &limitedLeaf{testLeaf: leaf}
	leaf.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		if l.stated != "" {
			w.Header().Set("Rate-Limit", l.stated)
		}
		l.mu.Unlock()
		_, _ = io.WriteString(w, "0123456789abcdef")
	})
	return l
}

func (l *limitedLeaf) state(rate string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stated, l.statedAt = rate, time.Now()
}

// most returns the largest number of requests that arrived within the window, not counting those before the given time after
// the leaf stated its rate.
func (l *limitedLeaf) most(window, after time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for first, from := range l.arrivals {
		if from.Before(l.statedAt.Add(after)) {
			continue
		}
		count := slices.IndexFunc(l.arrivals[first:], func(at time.Time) bool { return at.After(from.Add(window)) })
		if count < 0 {
			count = len(l.arrivals) - first
		}
		most = max(most, count)
	}
	return most
}

// limitedTier is a data centre of instances whose leafs state rate limits.
type limitedTier struct {
	tiers []*testTier
	leafs []*limitedLeaf
}

func newLimitedTier(t *testing.T, instances, leafs int, route router.RouteFields) *limitedTier {
	t.Helper()
	l := &limitedTier{}
	var shared []*testLeaf
	for _, name := range append([]string{route.Service}, route.Shards...) {
		for i := range leafs {
			if name != "" {
				leaf := newTestLeaf(t, fmt.Sprintf("%s-%d", name, i), name)
				shared, l.leafs = append(shared, leaf), append(l.leafs, limitLeaf(leaf))
			}
		}
	}
	for i := range instances {
		config := testConfig()
		config.Instance, config.Random = fmt.Sprintf("entry-%d", i+1), rand.New(rand.NewPCG(1, uint64(i)))
		tier := serveTier(t, New(config))
		tier.leafs = shared
		tier.publishRoster()
		tier.setRoute(route)
		l.tiers = append(l.tiers, tier)
	}
	return l
}

// answers counts the answers to callers.
type answers struct {
	served, refused, other int
	slowestRefusal         time.Duration
	withoutRetryAfter      int
	longestRetryAfter      time.Duration
}

// load sends requests to all instances in turn, perSecond in total, and waits for their answers.
func (l *limitedTier) load(perSecond int, duration time.Duration) answers {
	var mu sync.Mutex
	var callers sync.WaitGroup
	var total answers
	for i := range int(duration.Seconds() * float64(perSecond)) {
		callers.Go(func() {
			startedAt := time.Now()
			response, _ := l.tiers[i%len(l.tiers)].request(http.MethodGet, "/p/x", nil)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case response == nil:
				total.other++
			case response.StatusCode == http.StatusOK:
				total.served++
			case response.StatusCode == http.StatusServiceUnavailable:
				total.refused++
				total.slowestRefusal = max(total.slowestRefusal, time.Since(startedAt))
				seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				if err != nil {
					total.withoutRetryAfter++
				}
				total.longestRetryAfter = max(total.longestRetryAfter, time.Duration(seconds*float64(time.Second)))
			default:
				total.other++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	return total
}

// A leaf in need got its usual share of the requests of all instances, many times the rate that it stated.
func TestLeafGetsNoMoreThanItsStatedRate(t *testing.T) {
	const (
		window = 2 * time.Second
		// learning is the time in which each instance may find out about the rate.
		learning = 500 * time.Millisecond
	)
	plain := router.RouteFields{Name: "card", Service: "card", MaxAttempts: 2, Idempotent: true, Objective: 200 * time.Millisecond}
	sweep := router.RouteFields{
		Name: "sweep", Shards: []string{"s1", "s2", "s3"}, MaxAttempts: 2, Idempotent: true, Objective: 200 * time.Millisecond, TopRecords: 3, MinCoverage: 0.6,
	}
	cases := []struct {
		name      string
		instances int
		route     router.RouteFields
		rate      string
		want      int
	}{
		{"one instance", 1, plain, "3", 14},
		{"13 instances, less than one request each", 13, plain, "1.5", 9},
		{"13 instances, no requests at all", 13, plain, "0", 5},
		{"query of several shards", 5, sweep, "4", 17},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tier := newLimitedTier(t, c.instances, 1, c.route)
			tier.load(100, 200*time.Millisecond)
			for _, leaf := range tier.leafs {
				leaf.state(c.rate)
			}
			tier.load(100, learning+window+time.Second)
			for _, leaf := range tier.leafs {
				if got := leaf.most(window, learning); got > c.want {
					t.Errorf("leaf %s got %d requests in %v, want at most %d", leaf.id, got, window, c.want)
				}
			}
		})
	}
}
