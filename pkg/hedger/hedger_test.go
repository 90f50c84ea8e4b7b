package hedger

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestBudgetLimitsHedges(t *testing.T) {
	budget := NewBudget()
	const requests = 10_000
	hedges := 0
	for range requests {
		budget.OnRequest(4)
		if budget.TakeHedge(time.Hour) {
			hedges++
		}
	}
	if hedges > requests*4/100+maxHedgeTokens || hedges < requests*3/100 {
		t.Fatalf("got %d hedges for %d requests, want 3%% to 4%% and at most one full bucket on top", hedges, requests)
	}
}

func TestOverloadPausesHedges(t *testing.T) {
	budget := NewBudget()
	budget.OnOverload(time.Second)
	if budget.TakeHedge(time.Second + overloadPause - 1) {
		t.Fatal("hedge is permitted during the pause after an overload refusal, want none")
	}
	if !budget.TakeHedge(time.Second + overloadPause) {
		t.Fatal("hedge is not permitted after the pause, want it permitted")
	}
}

// Leafs of many shards do not answer for seconds. Every instance sends hedges and retries whenever its budget permits, and
// together they must keep the shared limit in every window without leaving more than half of it unused.
func TestWindowBudgetsKeepSharedLimit(t *testing.T) {
	retryLimit := RetryLimit{Ratio: 0.2, Slack: 214, Window: 10 * time.Second}
	const perSecond, step = 45, 10 * time.Millisecond
	for _, instances := range []int{1, 7, 87, 300} {
		random := rand.New(rand.NewPCG(1, uint64(instances)))
		budgets := make([]*WindowBudget, instances)
		for i := range budgets {
			budgets[i] = NewWindowBudget(retryLimit, 1/float64(instances), random.Float64(), 0)
		}
		var taken []time.Duration
		arrivals := 0.0
		for now := time.Duration(0); now < 40*time.Second; now += step {
			for arrivals += perSecond * step.Seconds(); arrivals >= 1; arrivals-- {
				budgets[random.IntN(instances)].OnRequest(now)
			}
			for _, budget := range budgets {
				for budget.Take(now) {
					taken = append(taken, now)
				}
			}
		}
		limit := retryLimit.Ratio*perSecond*retryLimit.Window.Seconds() + retryLimit.Slack
		most := maxInWindow(taken, retryLimit.Window)
		if float64(most) > limit {
			t.Errorf("%d instances: got %d hedges and retries in %v, want at most %.0f", instances, most, retryLimit.Window, limit)
		}
		if float64(most) < 0.5*limit {
			t.Errorf("%d instances: got %d hedges and retries in %v, want at least half of %.0f", instances, most, retryLimit.Window, limit)
		}
	}
}

// Leafs of many shards do not answer for seconds while all clients use one third of the instances and move to another third
// together halfway. The total number of requests comes from the control instances and is half a second old.
func TestWindowBudgetsFollowLoad(t *testing.T) {
	const (
		instances, busy, perSecond = 87, 29, 45
		step, lag                  = 10 * time.Millisecond, 500 * time.Millisecond
		moveAt, end                = 25 * time.Second, 50 * time.Second
	)
	retryLimit := RetryLimit{Ratio: 0.2, Slack: 214, Window: 10 * time.Second}
	random := rand.New(rand.NewPCG(1, 1))
	budgets, counters := make([]*WindowBudget, instances), make([]*RequestCounter, instances)
	for i := range budgets {
		budgets[i], counters[i] = NewWindowBudget(retryLimit, 1.0/instances, random.Float64(), 0), NewRequestCounter(retryLimit.Window)
	}
	var taken []time.Duration
	first, all, arrivals := 0, 0, 0.0
	for now := time.Duration(0); now < end; now += step {
		if now == moveAt {
			first = busy
		}
		for arrivals += perSecond * step.Seconds(); arrivals >= 1; arrivals-- {
			i := first + random.IntN(busy)
			budgets[i].OnRequest(now)
			counters[i].OnRequest(now)
		}
		for i, budget := range budgets {
			budget.SetShare(retryLimit, InstanceShare(counters[i].Requests(now), all, instances))
			if i >= first && i < first+busy {
				for budget.Take(now) {
					taken = append(taken, now)
				}
			}
		}
		if now%lag == 0 {
			all = 0
			for _, counter := range counters {
				all += counter.Requests(now)
			}
		}
	}
	limit := retryLimit.Ratio*perSecond*retryLimit.Window.Seconds() + retryLimit.Slack
	if most := maxInWindow(taken, retryLimit.Window); float64(most) > limit {
		t.Errorf("got %d hedges and retries in %v, want at most %.0f", most, retryLimit.Window, limit)
	}
	if perWindow := float64(len(taken)) * retryLimit.Window.Seconds() / end.Seconds(); perWindow < 0.5*limit {
		t.Errorf("got %.0f hedges and retries in %v on average, want at least half of %.0f", perWindow, retryLimit.Window, limit)
	}
}

func TestInstanceShare(t *testing.T) {
	cases := []struct {
		name                string
		own, all, instances int
		wantMin, wantMax    float64
	}{
		{"total unknown", 5, 0, 87, 1.0 / 87, 1.0 / 87},
		{"no own requests", 0, 600, 87, 0.2 / 87, 0.4 / 87},
		{"as many requests as the other instances", 7, 7 * 87, 87, 0.79 / 87, 0.81 / 87},
		{"more requests than the other instances", 40, 600, 87, 3.0 / 87, 4.0 / 87},
		{"outdated total", 10, 1, 87, 0, 6.0 / 87},
		{"only instance", 10, 10, 1, 0.8, 0.8},
		{"number of instances unknown", 0, 0, 0, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := InstanceShare(c.own, c.all, c.instances); got < c.wantMin-1e-9 || got > c.wantMax+1e-9 {
				t.Errorf("got %.4f, want %.4f to %.4f", got, c.wantMin, c.wantMax)
			}
		})
	}
}

func maxInWindow(taken []time.Duration, windowLength time.Duration) int {
	highest := 0
	for first, at := range taken {
		last := first
		for last < len(taken) && taken[last] <= at+windowLength {
			last++
		}
		highest = max(highest, last-first)
	}
	return highest
}

// Many leafs lose answers. An instance that sends a service one request every two seconds must be able to retry several in a
// row.
func TestWindowBudgetAllowsRetriesOfRareRequests(t *testing.T) {
	retryLimit := RetryLimit{Ratio: 0.2, Slack: 214, Window: 10 * time.Second}
	budget := NewWindowBudget(retryLimit, 1.0/87, 0.5, 0)
	now := time.Minute
	taken := 0
	for range 5 {
		budget.OnRequest(now)
		if budget.Take(now) {
			taken++
		}
		now += 2 * time.Second
	}
	if taken < 3 {
		t.Errorf("got %d retries of 5 requests, want at least 3", taken)
	}
}

// During a long fault the slack must be available again in each window, not only once.
func TestWindowBudgetRenewsSlackPerWindow(t *testing.T) {
	retryLimit := RetryLimit{Ratio: 0, Slack: 214, Window: 10 * time.Second}
	budget := NewWindowBudget(retryLimit, 1, 0.5, 0)
	taken := 0
	for now := time.Duration(0); now <= 100*time.Second; now += 10 * time.Millisecond {
		for budget.Take(now) {
			taken++
		}
	}
	if taken < 900 {
		t.Errorf("got %d hedges and retries in ten windows, want at least 900", taken)
	}
}

func TestBudgetLimitsRetries(t *testing.T) {
	budget := NewBudget()
	taken := 0
	for budget.TakeRetry() {
		taken++
	}
	if taken > maxRetryTokens {
		t.Fatalf("got %d retries from a bucket of %g tokens, want no more than that", taken, maxRetryTokens)
	}
}

func TestQuantileFollowsLatency(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	quantile := NewQuantile(0.95)
	for _, scale := range []float64{10, 40, 5} {
		for range 5000 {
			quantile.Add(time.Duration(scale * random.Float64() * float64(time.Millisecond)))
		}
		want := 0.95 * scale
		if got := quantile.Value().Seconds() * 1000; got < 0.85*want || got > 1.15*want {
			t.Errorf("got quantile %.2f ms at scale %g, want %.2f ms within 15%%", got, scale, want)
		}
	}
}
