package gatherer

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestTopKeepsGreatestRecords(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		limit := random.IntN(8)
		top := NewTop(limit)
		var records [][]byte
		for range random.IntN(6) {
			part := make([]byte, random.IntN(100))
			for i := range part {
				part[i] = byte(random.IntN(3)) * 127
			}
			top.Add(part)
			for rest := part; len(rest) >= RecordBytes; rest = rest[RecordBytes:] {
				records = append(records, rest[:RecordBytes])
			}
		}
		slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(records[:min(limit, len(records))], nil)
		if got := top.Bytes(); !bytes.Equal(got, want) {
			t.Fatalf("limit %d: got %x, want %x", limit, got, want)
		}
	}
}

func TestDecide(t *testing.T) {
	ms := time.Millisecond
	plan := Plan{Shards: 4, MinParts: 3, MaxAttempts: 2, HedgeDelay: 20 * ms, SoftDeadline: 50 * ms, LateDeadline: 100 * ms, Deadline: 200 * ms}
	start := func() *Execution {
		execution := New(plan)
		for i := range plan.Shards {
			execution.OnSent(i, 0)
		}
		return execution
	}
	cases := []struct {
		name string
		run  func(e *Execution)
		now  time.Duration
		want Decision
	}{
		{"complete with all parts", func(e *Execution) { receiveParts(e, 0, 1, 2, 3) }, 10 * ms, Complete},
		{"continues before the soft deadline without the last part", func(e *Execution) { receiveParts(e, 0, 1, 2) }, 49 * ms, Continue},
		{"partial at the soft deadline", func(e *Execution) { receiveParts(e, 0, 1, 2) }, 50 * ms, Partial},
		{"continues at the soft deadline with too few parts", func(e *Execution) { receiveParts(e, 0, 1) }, 50 * ms, Continue},
		{"continues between the soft deadline and the late deadline", func(e *Execution) { receiveParts(e, 0, 1, 2) }, 70 * ms, Continue},
		{"partial at the late deadline", func(e *Execution) { receiveParts(e, 0, 1, 2) }, 100 * ms, Partial},
		{"timed out at the deadline with too few parts", func(e *Execution) { receiveParts(e, 0, 1) }, 200 * ms, TimedOut},
		{"partial at once when no more parts can arrive", func(e *Execution) {
			receiveParts(e, 0, 1, 2)
			e.OnFailure(3, true)
			e.OnDenied(3, 5*ms)
		}, 10 * ms, Partial},
		{"exhausted at once when no more parts can arrive", func(e *Execution) {
			receiveParts(e, 0, 1)
			for _, i := range []int{2, 3} {
				e.OnFailure(i, true)
				e.OnDenied(i, 5*ms)
			}
		}, 10 * ms, Exhausted},
		{"continues while the second attempt is in flight", func(e *Execution) {
			receiveParts(e, 0, 1, 2)
			e.OnFailure(3, true)
			e.OnSent(3, 5*ms)
		}, 10 * ms, Continue},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			execution := start()
			c.run(execution)
			if got := execution.Decide(c.now); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestLateShardIsHedgedOnce(t *testing.T) {
	ms := time.Millisecond
	execution := New(Plan{Shards: 2, MinParts: 2, MaxAttempts: 2, HedgeDelay: 20 * ms, SoftDeadline: 50 * ms, LateDeadline: 60 * ms, Deadline: 200 * ms})
	execution.OnSent(0, 0)
	execution.OnSent(1, 0)
	if hedged := execution.ShardsToHedge(19 * ms); len(hedged) != 0 {
		t.Fatalf("before the hedge delay: got hedges of shards %v, want none", hedged)
	}
	if next := execution.NextCheck(0); next != 20*ms {
		t.Errorf("next check: got %v, want 20ms", next)
	}
	receiveParts(execution, 0)
	if hedged := execution.ShardsToHedge(20 * ms); !slices.Equal(hedged, []int{1}) {
		t.Fatalf("after the hedge delay: got hedges of shards %v, want [1]", hedged)
	}
	execution.OnSent(1, 20*ms)
	if hedged := execution.ShardsToHedge(45 * ms); len(hedged) != 0 {
		t.Errorf("after two attempts: got hedges of shards %v, want none", hedged)
	}
	if !execution.OnPart(1) {
		t.Error("first part of the shard: got false, want true")
	}
	if execution.OnPart(1) {
		t.Error("second part of the shard: got true, want false")
	}
}

func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	ms := time.Millisecond
	execution := New(Plan{Shards: 1, MinParts: 1, MaxAttempts: 2, ForbidsHedging: true, HedgeDelay: 20 * ms, SoftDeadline: 50 * ms, LateDeadline: 50 * ms, Deadline: 50 * ms})
	execution.OnSent(0, 0)
	for _, now := range []time.Duration{20 * ms, 50 * ms, time.Second} {
		if hedged := execution.ShardsToHedge(now); len(hedged) != 0 {
			t.Errorf("after %v: got a hedge, want none", now)
		}
	}
}

func TestAttemptDeadline(t *testing.T) {
	ms := time.Millisecond
	plan := Plan{Shards: 4, MinParts: 3, MaxAttempts: 2, HedgeDelay: 20 * ms, SoftDeadline: 50 * ms, LateDeadline: 100 * ms, Deadline: 200 * ms}
	cases := []struct {
		name   string
		inTime int
		done   []int
		sent   int
		now    time.Duration
		want   time.Duration
	}{
		{"first attempt ends at the soft deadline", 4, nil, 0, 0, plan.SoftDeadline},
		{"query expected to be late uses the deadline", 2, nil, 0, 0, plan.Deadline},
		{"attempt after the soft deadline uses the deadline", 4, nil, 0, 60 * ms, plan.Deadline},
		{"last attempt ends at the soft deadline with enough parts", 4, []int{0, 1, 2}, 1, 20 * ms, plan.SoftDeadline},
		{"last attempt gets half of the remaining time with too few parts", 4, []int{0, 1}, 1, 20 * ms, 110 * ms},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			execution := New(plan)
			execution.SetExpectedParts(c.inTime)
			for _, i := range c.done {
				execution.OnSent(i, 0)
			}
			receiveParts(execution, c.done...)
			for range c.sent {
				execution.OnSent(3, 0)
			}
			if got := execution.AttemptDeadline(3, c.now); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestAttemptThatDidNotRunDoesNotCount(t *testing.T) {
	execution := New(Plan{Shards: 1, MinParts: 1, MaxAttempts: 2, HedgeDelay: time.Second, SoftDeadline: time.Second, LateDeadline: time.Second, Deadline: time.Second})
	for range 5 {
		execution.OnSent(0, 0)
		if !execution.OnFailure(0, false) {
			t.Fatal("after an attempt that did not run: got no further attempt, want one")
		}
	}
	execution.OnSent(0, 0)
	if !execution.OnFailure(0, true) {
		t.Fatal("after the first attempt: got no second one, want one")
	}
	execution.OnSent(0, 0)
	if execution.OnFailure(0, true) {
		t.Error("after the second attempt: got a third one, want none")
	}
}

// Guards against a hedge that is never sent because it was denied once. This happens when leafs of many shards stop answering
// at once: the other leafs of a shard are rate limited for a moment, or the retry budget is used up.
func TestDeniedHedgeIsRetriedAfterBackoff(t *testing.T) {
	ms := time.Millisecond
	execution := New(Plan{Shards: 1, MinParts: 1, MaxAttempts: 2, HedgeDelay: 20 * ms, SoftDeadline: 50 * ms, LateDeadline: 60 * ms, Deadline: 3000 * ms})
	execution.OnSent(0, 0)
	execution.OnDenied(0, 20*ms)
	if hedged := execution.ShardsToHedge(20*ms + minBackoff - 1); len(hedged) != 0 {
		t.Error("before the backoff has passed: got a hedge, want none")
	}
	if next := execution.NextCheck(21 * ms); next != 20*ms+minBackoff {
		t.Errorf("next check: got %v, want %v", next, 20*ms+minBackoff)
	}
	if hedged := execution.ShardsToHedge(20*ms + minBackoff); !slices.Equal(hedged, []int{0}) {
		t.Fatal("after the backoff: got no hedge, want one of shard 0")
	}
	execution.OnSent(0, 20*ms+minBackoff)
	if execution.OnFailure(0, true) {
		t.Error("while the second attempt is in flight: got a third one, want none")
	}
	if decision := execution.Decide(60 * ms); decision != Continue {
		t.Errorf("while the second attempt is in flight: got decision %v, want Continue", decision)
	}
}

// Guards against hedging under overload. After all instances were lost, all callers return at once and every shard is late, so
// a hedge of each shard would double the load.
func TestManyLateShardsAreNotHedged(t *testing.T) {
	ms := time.Millisecond
	plan := Plan{Shards: 10, MinParts: 9, MaxAttempts: 2, HedgeDelay: 20 * ms, SoftDeadline: 200 * ms, LateDeadline: 400 * ms, Deadline: 3000 * ms}
	execution := New(plan)
	for i := range plan.Shards {
		execution.OnSent(i, 0)
	}
	receiveParts(execution, 0, 1, 2, 3)
	if hedged := execution.ShardsToHedge(20 * ms); len(hedged) != 0 {
		t.Fatalf("got hedges of %d of %d shards, want none", len(hedged), plan.Shards)
	}
	if next := execution.NextCheck(21 * ms); next != 20*ms+minBackoff {
		t.Errorf("next check: got %v, want %v", next, 20*ms+minBackoff)
	}
	receiveParts(execution, 4)
	if hedged := execution.ShardsToHedge(20*ms + minBackoff); !slices.Equal(hedged, []int{5, 6, 7, 8, 9}) {
		t.Errorf("with half of the shards late: got hedges of shards %v, want [5 6 7 8 9]", hedged)
	}
}

// Guards against a query that fails at once when no leaf of a shard takes the request. After all instances restart together,
// leafs refuse connections for about a second, and a caller with a longer timeout should get a late answer.
func TestBackoffWhenNoLeafTakesRequest(t *testing.T) {
	ms := time.Millisecond
	plan := Plan{
		Shards: 2, MinParts: 2, MaxAttempts: 2, HedgeDelay: 20 * ms, SoftDeadline: 500 * ms, LateDeadline: 600 * ms, Deadline: 3000 * ms,
		RetryUntil: 3000 * ms,
	}
	deny := func(e *Execution, now time.Duration) {
		e.OnFailure(1, false)
		e.OnDenied(1, now)
	}
	t.Run("retried after backoff", func(t *testing.T) {
		e := New(plan)
		e.OnSent(0, 0)
		e.OnSent(1, 0)
		receiveParts(e, 0)
		deny(e, 10*ms)
		if decision := e.Decide(11 * ms); decision != Continue {
			t.Fatalf("during the backoff: got decision %v, want Continue", decision)
		}
		if next := e.NextCheck(11 * ms); next != 10*ms+minBackoff {
			t.Errorf("next check: got %v, want %v", next, 10*ms+minBackoff)
		}
		if due := e.ShardsToRetry(10*ms + minBackoff); !slices.Equal(due, []int{1}) {
			t.Fatalf("after the backoff: got retries of shards %v, want [1]", due)
		}
		e.OnSent(1, 10*ms+minBackoff)
		receiveParts(e, 1)
		if decision := e.Decide(50 * ms); decision != Complete {
			t.Errorf("with all parts: got decision %v, want Complete", decision)
		}
	})
	t.Run("retried with growing backoff until the limit", func(t *testing.T) {
		e := New(plan)
		e.OnSent(0, 0)
		receiveParts(e, 0)
		retries := 0
		now := 10 * ms
		for e.OnDenied(1, now); e.Decide(now) == Continue; e.OnDenied(1, now) {
			backoffStart := now
			for due := []int(nil); len(due) == 0; due = e.ShardsToRetry(now) {
				now = e.NextCheck(now)
			}
			if pause := now - backoffStart; pause < minBackoff || pause > maxBackoff {
				t.Fatalf("got a backoff of %v after %d retries, want minBackoff to maxBackoff", pause, retries)
			}
			retries++
		}
		if now < plan.RetryUntil-maxBackoff {
			t.Errorf("retries ended at %v, %v before the limit, want at most maxBackoff before it", now, plan.RetryUntil-now)
		}
		if want := int(plan.RetryUntil/maxBackoff) + 4; retries > want {
			t.Errorf("got %d retries, want at most %d", retries, want)
		}
		if decision := e.Decide(now); decision != Exhausted {
			t.Errorf("after the last retry: got decision %v, want Exhausted", decision)
		}
	})
	t.Run("not awaited with enough parts", func(t *testing.T) {
		enough := plan
		enough.MinParts = 1
		e := New(enough)
		e.OnSent(0, 0)
		e.OnSent(1, 0)
		deny(e, 10*ms)
		if decision := e.Decide(11 * ms); decision != Continue {
			t.Fatalf("while a part can still arrive: got decision %v, want Continue", decision)
		}
		receiveParts(e, 0)
		if decision := e.Decide(12 * ms); decision != Partial {
			t.Errorf("with enough parts: got decision %v, want Partial", decision)
		}
	})
}

// Guards against a query that waits for its deadline although too few parts can arrive, as when answers of many leafs are lost
// on the network. Failing at once leaves the caller most of its time to retry.
func TestQueryFailsWhenTooManyShardsAreExhausted(t *testing.T) {
	ms := time.Millisecond
	execution := New(Plan{Shards: 4, MinParts: 3, MaxAttempts: 1, HedgeDelay: 20 * ms, SoftDeadline: 50 * ms, LateDeadline: 60 * ms, Deadline: 3000 * ms})
	for i := range 4 {
		execution.OnSent(i, 0)
	}
	execution.OnFailure(0, true)
	if decision := execution.Decide(10 * ms); decision != Continue {
		t.Errorf("with one shard exhausted and one allowed to be missing: got decision %v, want Continue", decision)
	}
	execution.OnFailure(1, true)
	if decision := execution.Decide(10 * ms); decision != Exhausted {
		t.Errorf("with two shards exhausted and one allowed to be missing: got decision %v, want Exhausted", decision)
	}
}

func receiveParts(e *Execution, shards ...int) {
	for _, shard := range shards {
		e.OnPart(shard)
	}
}
