package hedger

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestBudgetKeepsToItsShare(t *testing.T) {
	budget := NewBudget()
	const requests = 10_000
	hedges := 0
	for range requests {
		budget.OnRequest(4)
		if budget.TakeHedge(time.Hour) {
			hedges++
		}
	}
	if hedges > requests*4/100+budgetStore || hedges < requests*3/100 {
		t.Fatalf("%d hedges for %d requests at 4%%", hedges, requests)
	}
}

func TestBudgetClosesUnderOverload(t *testing.T) {
	budget := NewBudget()
	budget.OnOverload(time.Second)
	if budget.TakeHedge(time.Second + overloadPause - 1) {
		t.Fatal("a hedge during an overload")
	}
	if !budget.TakeHedge(time.Second + overloadPause) {
		t.Fatal("no hedge after the overload")
	}
}

func TestRetriesRunOut(t *testing.T) {
	budget := NewBudget()
	taken := 0
	for budget.TakeRetry() {
		taken++
	}
	if taken > retryStore {
		t.Fatalf("%d retries from a store of %g", taken, retryStore)
	}
}

func TestQuantileFollows(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	quantile := NewQuantile(0.95)
	for _, scale := range []float64{10, 40, 5} {
		for range 5000 {
			quantile.Add(time.Duration(scale * random.Float64() * float64(time.Millisecond)))
		}
		want := 0.95 * scale
		if got := quantile.Value().Seconds() * 1000; got < 0.85*want || got > 1.15*want {
			t.Errorf("quantile %.2f ms at scale %g, want about %.2f ms", got, scale, want)
		}
	}
}
