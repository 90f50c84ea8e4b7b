package tracer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestExplain(t *testing.T) {
	fastSpan := Span{Kind: "first", Service: "s", Shard: 0, Leaf: "a", Duration: 5 * ms, LeafTime: 4 * ms, Result: "answered"}
	tests := []struct {
		name  string
		trace Trace
		want  string
	}{
		{
			"queue after a restart",
			Trace{Outcome: "complete", Spans: []Span{fastSpan, {
				Service: "s", Shard: 41, Leaf: "b", Duration: 45 * ms, Queue: 38 * ms, LeafTime: 6 * ms, Limit: 1, Slots: 2,
				LimitResetAge: 1200 * ms, LimitResetReason: "restarted", Result: "answered",
			}}},
			"shard s/41 waited 38.0 ms in the queue of leaf b: limit 1 of 2 slots since it restarted 1.2 s before",
		},
		{
			"all slots busy",
			Trace{Outcome: "complete", Spans: []Span{{Service: "s", Shard: 1, Leaf: "b", Duration: 30 * ms, Queue: 20 * ms, Limit: 2, Slots: 2, Result: "answered"}}},
			"shard s/1 waited 20.0 ms in the queue of leaf b: all 2 slots were busy",
		},
		{
			"new connection",
			Trace{Outcome: "complete", Spans: []Span{{Service: "s", Shard: 1, Leaf: "b", Duration: 9 * ms, Connect: 6 * ms, LeafTime: 2 * ms, Result: "answered"}}},
			"shard s/1 waited 6.0 ms for a new connection to leaf b",
		},
		{
			"slow leaf",
			Trace{Outcome: "complete", Spans: []Span{fastSpan, {Service: "s", Shard: 2, Leaf: "c", DataCentre: "d", Duration: 40 * ms, LeafTime: 39 * ms, Result: "answered"}}},
			"shard s/2 ran for 39.0 ms at leaf c in d",
		},
		{
			"cancelled request of an answered shard",
			Trace{Outcome: "complete", Spans: []Span{fastSpan, {Service: "s", Shard: 0, Leaf: "c", Duration: 50 * ms, Result: "cancelled"}}},
			"shard s/0 ran for 4.0 ms at leaf a in ",
		},
		{
			"no answer",
			Trace{Outcome: "partial", Reason: "deadline", Spans: []Span{fastSpan, {Service: "s", Shard: 3, Leaf: "c", DataCentre: "d", Duration: 50 * ms, Result: "cancelled"}}},
			"shard s/3 had no answer from leaf c in d after 50.0 ms (cancelled); the query ended as partial: deadline",
		},
		{"no request sent", Trace{Outcome: "refused-not-run", Reason: "overloaded"}, "no request was sent: overloaded"},
	}
	for _, test := range tests {
		if got := Explain(test.trace); got != test.want {
			t.Errorf("%s:\n got %s\nwant %s", test.name, got, test.want)
		}
	}
}

func TestStoreKeepsSlowPartialAndRefused(t *testing.T) {
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
			t.Errorf("got no trace of query %s, want it stored", id)
		}
	}
	if slowest := store.Slowest(); len(slowest) != maxSlowest || slowest[0].ID != "100" {
		t.Errorf("got %d slowest queries with %s first, want %d with 100 first", len(slowest), slowest[0].ID, maxSlowest)
	}
	if stored := len(store.slowest) + len(store.incidents.traces) + len(store.samples.traces); stored > maxSlowest+maxIncidents+maxSamples {
		t.Errorf("got %d stored traces, want at most %d", stored, maxSlowest+maxIncidents+maxSamples)
	}
}

func TestTreeShowsSteps(t *testing.T) {
	lines := Tree(Trace{ID: "q", Instance: "e", Spans: []Span{{Service: "s", Shard: 1, Leaf: "l", Queue: ms, Duration: 2 * ms}}})
	if text := strings.Join(lines, "\n"); !strings.Contains(text, "queue 1.0 ms") || !strings.Contains(text, "travel 1.0 ms") {
		t.Errorf("got tree without queue 1.0 ms or travel 1.0 ms:\n%s", text)
	}
}
