package tracer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestExplain(t *testing.T) {
	quick := Span{Kind: "first", Service: "s", Shard: 0, Leaf: "a", Total: 5 * ms, LeafTime: 4 * ms, Result: "answered"}
	tests := []struct {
		name  string
		trace Trace
		want  string
	}{
		{
			"queue after a restart",
			Trace{Outcome: "complete", Spans: []Span{quick, {
				Service: "s", Shard: 41, Leaf: "b", Total: 45 * ms, Queue: 38 * ms, LeafTime: 6 * ms, Limit: 1, Slots: 2,
				ClosedFor: 1200 * ms, ClosedReason: "restarted", Result: "answered",
			}}},
			"shard s/41 waited 38.0 ms in the queue of leaf b: limit 1 of 2 slots since it restarted 1.2 s before",
		},
		{
			"busy slots",
			Trace{Outcome: "complete", Spans: []Span{{Service: "s", Shard: 1, Leaf: "b", Total: 30 * ms, Queue: 20 * ms, Limit: 2, Slots: 2, Result: "answered"}}},
			"shard s/1 waited 20.0 ms in the queue of leaf b: all 2 slots were busy",
		},
		{
			"new connection",
			Trace{Outcome: "complete", Spans: []Span{{Service: "s", Shard: 1, Leaf: "b", Total: 9 * ms, Connect: 6 * ms, LeafTime: 2 * ms, Result: "answered"}}},
			"shard s/1 waited 6.0 ms for a new connection to leaf b",
		},
		{
			"slow leaf",
			Trace{Outcome: "complete", Spans: []Span{quick, {Service: "s", Shard: 2, Leaf: "c", DataCentre: "d", Total: 40 * ms, LeafTime: 39 * ms, Result: "answered"}}},
			"shard s/2 ran for 39.0 ms at leaf c in d",
		},
		{
			"hedged loser does not count",
			Trace{Outcome: "complete", Spans: []Span{quick, {Service: "s", Shard: 0, Leaf: "c", Total: 50 * ms, Result: "cancelled"}}},
			"shard s/0 ran for 4.0 ms at leaf a in ",
		},
		{
			"no answer",
			Trace{Outcome: "partial", Reason: "deadline", Spans: []Span{quick, {Service: "s", Shard: 3, Leaf: "c", DataCentre: "d", Total: 50 * ms, Result: "cancelled"}}},
			"shard s/3 had no answer from leaf c in d after 50.0 ms (cancelled); the query ended as partial: deadline",
		},
		{"nothing sent", Trace{Outcome: "refused-not-run", Reason: "overloaded"}, "no request was sent: overloaded"},
	}
	for _, test := range tests {
		if got := Explain(test.trace); got != test.want {
			t.Errorf("%s:\n got %s\nwant %s", test.name, got, test.want)
		}
	}
}

func TestStoreKeepsWhatMatters(t *testing.T) {
	store := NewStore()
	for i := range 5000 {
		trace := Trace{ID: fmt.Sprint(i), Outcome: "complete", Took: time.Duration(i%100) * ms}
		switch i {
		case 100:
			trace.Took = time.Hour
		case 4800:
			trace.Outcome = "partial"
		case 4900:
			trace.Outcome = "refused-not-run"
		}
		store.Add(trace)
	}
	for _, id := range []string{"100", "4800", "4900"} {
		if _, ok := store.Find(id); !ok {
			t.Errorf("query %s is not kept", id)
		}
	}
	if slowest := store.Slowest(); len(slowest) != keptSlowest || slowest[0].ID != "100" {
		t.Errorf("%d slowest, the first is %s", len(slowest), slowest[0].ID)
	}
	if kept := len(store.slowest) + len(store.incidents.traces) + len(store.sample.traces); kept > keptSlowest+keptIncident+keptSample {
		t.Errorf("%d traces are kept", kept)
	}
}

func TestTreeNamesEachStep(t *testing.T) {
	lines := Tree(Trace{ID: "q", Instance: "e", Spans: []Span{{Service: "s", Shard: 1, Leaf: "l", Queue: ms, Total: 2 * ms}}})
	if text := strings.Join(lines, "\n"); !strings.Contains(text, "queue 1.0 ms") || !strings.Contains(text, "travel 1.0 ms") {
		t.Errorf("tree:\n%s", text)
	}
}
