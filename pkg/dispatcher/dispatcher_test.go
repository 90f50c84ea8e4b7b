package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/tracer"
)

// fakeOwners answers every ask after a delay, or never.
type fakeOwners struct {
	mu         sync.Mutex
	dispatcher *Dispatcher
	delay      time.Duration
	never      bool
	asked      int
	cancelled  int
}

func (f *fakeOwners) Ask(_ tabulator.Member, ask fellow.Ask) {
	f.mu.Lock()
	f.asked++
	f.mu.Unlock()
	if f.never {
		return
	}
	time.AfterFunc(f.delay, func() {
		f.dispatcher.OnReplies(tabulator.MemberID{}, []fellow.Reply{{
			ID: ask.ID, Leaf: ask.Leaf, Kind: fellow.KindHit, Index: ask.Index, Version: ask.Version, Shard: ask.Shard,
		}})
	})
}

func (f *fakeOwners) Cancel(tabulator.MemberID, uint64) {
	f.mu.Lock()
	f.cancelled++
	f.mu.Unlock()
}

func (f *fakeOwners) Silent(tabulator.MemberID) bool { return false }

func (f *fakeOwners) CutOff() bool { return false }

func (f *fakeOwners) FetchHoldings(_ tabulator.Member, leafs []string) (map[string][]fellow.Holding, error) {
	holdings := map[string][]fellow.Holding{}
	for _, id := range leafs {
		holdings[id] = []fellow.Holding{{Index: "i", Version: 1, Shard: 0, Shards: 1}}
	}
	return holdings, nil
}

func newDispatcher(t *testing.T, owners *fakeOwners, lease func() bool) *Dispatcher {
	t.Helper()
	begun := time.Now()
	d := New(Config{
		Self: tabulator.MemberID{Instance: "e", Incarnation: 1}, Now: func() time.Duration { return time.Since(begun) }, Wall: time.Now,
		LeaseHeld: func(time.Duration) bool { return lease() }, Transport: owners, Random: rand.New(rand.NewPCG(1, 1)),
	}, tracer.NewStore(), metrics.NewSet())
	owners.dispatcher = d
	machine := tabulator.NewMachine()
	machine.Apply(tabulator.Join{Member: tabulator.MemberFields{Instance: "e", Incarnation: 1, DataCentre: "d"}})
	machine.Apply(tabulator.ChangeRows{ChangeID: "c", Rows: []tabulator.RowFields{{
		Service: "s", DataCentre: "d", Weight: 1, Slots: 2, Connections: 5, DeadlineMs: 50, MinCoverage: 1, HedgePercent: 4, State: tabulator.StateIn,
	}}})
	view, err := tabulator.NewView().Apply(machine.Delta(0))
	if err != nil {
		t.Fatal(err)
	}
	d.OnView(view)
	d.OnRoster([]coordinator.LeafRecord{
		{ID: "s-d-0", Service: "s", DataCentre: "d", Address: "x"}, {ID: "s-d-1", Service: "s", DataCentre: "d", Address: "y"},
	})
	return d
}

func TestRun(t *testing.T) {
	held := func() bool { return true }
	tests := []struct {
		name    string
		owners  fakeOwners
		lease   func() bool
		request Request
		drain   bool
		gone    bool
		outcome coordinator.Outcome
		reason  string
	}{
		{"complete", fakeOwners{delay: time.Millisecond}, held, Request{Services: []string{"s"}, Idempotent: true}, false, false, coordinator.OutcomeComplete, ""},
		{"never answered", fakeOwners{never: true}, held, Request{Services: []string{"s"}, Idempotent: true}, false, false, coordinator.OutcomeFailed, coordinator.ReasonDeadline},
		{"unknown service", fakeOwners{}, held, Request{Services: []string{"x"}}, false, false, coordinator.OutcomeRefused, ReasonNoService},
		{"no lease", fakeOwners{}, func() bool { return false }, Request{Services: []string{"s"}}, false, false, coordinator.OutcomeRefused, ReasonNotReady},
		{"shutting down", fakeOwners{}, held, Request{Services: []string{"s"}}, true, false, coordinator.OutcomeRefused, ReasonShuttingDown},
		{"caller gone", fakeOwners{never: true}, held, Request{Services: []string{"s"}, Idempotent: true}, false, true, coordinator.OutcomeFailed, ReasonCallerGone},
	}
	for i := range tests {
		test := &tests[i]
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(t, &test.owners, test.lease)
				if test.drain {
					d.Drain()
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if test.gone {
					time.AfterFunc(time.Millisecond, cancel)
				}
				result := d.Run(ctx, test.request)
				if result.Answer.Outcome != test.outcome || result.Answer.Reason != test.reason {
					t.Errorf("%s %q, want %s %q", result.Answer.Outcome, result.Answer.Reason, test.outcome, test.reason)
				}
				if result.Took > 50*time.Millisecond {
					t.Errorf("took %s, the row allows 50ms", result.Took)
				}
				time.Sleep(time.Second)
				d.leavesNothing(t)
			})
		})
	}
}

func (d *Dispatcher) leavesNothing(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.running) != 0 || d.open != 0 {
		t.Errorf("%d requests and %d queries are left", len(d.running), d.open)
	}
}

// TestEndedQuerySetsNoTimer lets the timer fire while the query ends; a query that sets it again would spin for ever.
func TestEndedQuerySetsNoTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owners := &fakeOwners{delay: time.Millisecond}
		d := newDispatcher(t, owners, func() bool { return true })
		c := &course{id: "q", owners: map[uint64]tabulator.MemberID{}, done: make(chan coordinator.Answer, 1)}
		limits, _ := d.limits(Request{Services: []string{"s"}, Idempotent: true}, 0)
		d.learn(map[string][]fellow.Holding{"s-d-0": {{Index: "i", Version: 1, Shards: 1}}})
		plan, _ := d.catalogue.PlanQuery([]string{"s"}, d.view)
		tools := d.toolsFor([]string{"s"})
		c.query = coordinator.NewQuery(plan, limits, coordinator.Dependencies{
			Chooser: d.chooser, Budget: tools.budget, Quantile: tools.quantile, NextAttemptID: d.nextID, AttemptTimeout: time.Second,
		})
		fired := 0
		c.timer = time.AfterFunc(time.Hour, func() { fired++ })
		d.mu.Lock()
		d.carryOut(c, c.query.Start(0))
		d.mu.Unlock()
		<-c.done
		d.onTime(c)
		time.Sleep(2 * time.Hour)
		if fired != 0 {
			t.Errorf("the timer of an ended query fired %d times", fired)
		}
	})
}
