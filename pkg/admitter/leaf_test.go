package admitter

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

func item(id uint64, caller string) Item {
	return Item{ID: id, Caller: caller, Deadline: time.Hour, Priority: 1}
}

// warm lets the leaf answer until its limit is at its slots.
func warm(t *testing.T, leaf *Leaf, now time.Duration) {
	t.Helper()
	for id := uint64(1_000_000); id < 1_000_200; id++ {
		leaf.Offer(item(id, "warm"), now)
		next, _, ok := leaf.Next(now)
		if !ok {
			t.Fatal("the leaf takes nothing")
		}
		leaf.Done(next.ID, Answered{}, now+5*ms)
	}
	if leaf.limit() != leaf.slots {
		t.Fatalf("limit %d of %d slots after 200 answers", leaf.limit(), leaf.slots)
	}
}

func fill(leaf *Leaf, count int, now time.Duration) int {
	sent := 0
	for id := range uint64(count) {
		leaf.Offer(item(id+1, "c"), now)
	}
	for {
		if _, _, ok := leaf.Next(now); !ok {
			return sent
		}
		sent++
	}
}

func TestLimitOpensAndCloses(t *testing.T) {
	tests := []struct {
		name  string
		act   func(leaf *Leaf)
		sends int
	}{
		{"warm", func(*Leaf) {}, 6},
		{"restarted", func(l *Leaf) { l.OnRestart(time.Second) }, 1},
		{"broken connection", func(l *Leaf) { l.Offer(item(1, "c"), 0); l.Next(0); l.Done(1, Broken{}, time.Second) }, 0},
		{"shed", func(l *Leaf) { l.Offer(item(1, "c"), 0); l.Next(0); l.Done(1, Shed{}, time.Second) }, 0},
		{"one slow answer", func(l *Leaf) { l.Offer(item(1, "c"), 0); l.Next(0); l.Done(1, Answered{}, time.Second) }, 6},
		{"slow answers", func(l *Leaf) {
			for id := uint64(1); id <= 2; id++ {
				l.Offer(item(id, "c"), 0)
				l.Next(0)
				l.Done(id, Answered{}, time.Second)
			}
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			leaf := New(6, 0)
			warm(t, leaf, 0)
			test.act(leaf)
			if got := fill(leaf, 20, time.Second); got != test.sends {
				t.Fatalf("%d sent at once, want %d", got, test.sends)
			}
		})
	}
}

func TestNewLeafOpensFromOne(t *testing.T) {
	if got := fill(New(6, 0), 20, 0); got != 1 {
		t.Fatalf("%d sent at once to a leaf that may be cold", got)
	}
}

func TestSlowRunningRequestsCloseTheLimit(t *testing.T) {
	leaf := New(6, 0)
	warm(t, leaf, 0)
	for id := uint64(1); id <= 3; id++ {
		leaf.Offer(item(id, "c"), 0)
		leaf.Next(0)
	}
	leaf.Offer(item(9, "c"), 100*ms)
	if _, _, ok := leaf.Next(100 * ms); ok {
		t.Fatal("a request was sent while three ran for twenty times the usual time")
	}
}

func TestRestDoublesAndEnds(t *testing.T) {
	leaf := New(2, 0)
	now := time.Duration(0)
	rest := restFirst
	for id := uint64(1); id <= 4; id++ {
		leaf.Offer(item(id, "c"), now)
		if _, _, ok := leaf.Next(now); !ok {
			t.Fatalf("round %d: nothing sent after the rest", id)
		}
		leaf.Done(id, Shed{}, now)
		if got := leaf.Offer(item(id+100, "c"), now); got != RefusedResting {
			t.Fatalf("round %d: %q while the leaf rests", id, got)
		}
		if _, _, ok := leaf.Next(now + rest - 1); ok {
			t.Fatalf("round %d: sent while the leaf rests", id)
		}
		now += rest
		rest *= 2
	}
}

func TestRequestWithoutAnswerKeepsItsSlot(t *testing.T) {
	for _, outcome := range []Outcome{Abandoned{}, Broken{}} {
		leaf := New(1, 0)
		leaf.Offer(Item{ID: 1, Deadline: 200 * ms, Priority: 1}, 0)
		leaf.Next(0)
		leaf.Done(1, outcome, ms)
		rested := ms + restFirst
		leaf.Offer(item(2, "c"), rested)
		if _, _, ok := leaf.Next(rested); ok {
			t.Fatalf("%T: the slot was given away while the leaf may still run the request", outcome)
		}
		if _, _, ok := leaf.Next(200*ms + lateGrace + 1); !ok {
			t.Fatalf("%T: the slot was never given back", outcome)
		}
	}
}

func TestInheritedRequestsKeepTheirSlots(t *testing.T) {
	leaf := New(4, 0, WithInherited(4, 5*ms, 3, 40*ms))
	if got := fill(leaf, 10, 0); got != 1 {
		t.Fatalf("%d sent beside three requests of the former owner, want 1", got)
	}
	if got := leaf.RunningFor(0); got < 40*ms {
		t.Fatalf("running for %s, want at least 40ms", got)
	}
}

func TestCallersShareFairly(t *testing.T) {
	leaf := New(1, 0)
	for id := uint64(1); id <= 20; id++ {
		leaf.Offer(item(id, "audit"), 0)
	}
	leaf.Offer(item(100, "desk"), 0)
	for sent := 1; sent <= 3; sent++ {
		next, _, ok := leaf.Next(0)
		if !ok {
			t.Fatal("nothing sent")
		}
		if next.Caller == "desk" {
			return
		}
		leaf.Done(next.ID, Answered{}, 0)
	}
	t.Fatal("the desk waited behind the audit")
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name  string
		set   func(l *Leaf)
		offer Item
		want  Refusal
	}{
		{"fits", func(*Leaf) {}, Item{ID: 1, Deadline: time.Second, Priority: 1}, RefusedNone},
		{"deadline too near", func(*Leaf) {}, Item{ID: 1, Deadline: ms, Priority: 1}, RefusedTooLate},
		{"queue full", func(l *Leaf) { fill(l, queuePerSlot*2, 0); fill(l, 2, 0) }, Item{ID: 9999, Deadline: time.Hour, Priority: 1}, RefusedQueueFull},
		{"low priority", func(l *Leaf) { l.threshold.value = 0.5 }, Item{ID: 1, Deadline: time.Second, Priority: 0.4}, RefusedPriority},
		{"hedge to a cold leaf", func(l *Leaf) { l.OnRestart(0) }, Item{ID: 1, Deadline: time.Second, Priority: 1, Hedge: true}, RefusedCold},
		{"hedge to a busy leaf", func(l *Leaf) { fill(l, 2, 0) }, Item{ID: 99, Deadline: time.Second, Priority: 1, Hedge: true}, RefusedBusy},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			leaf := New(2, 0)
			warm(t, leaf, 0)
			test.set(leaf)
			if got := leaf.Offer(test.offer, 0); got != test.want {
				t.Fatalf("%q, want %q", got, test.want)
			}
		})
	}
}

func TestThresholdFollowsTheLoad(t *testing.T) {
	leaf := New(1, 0)
	now := time.Duration(0)
	for id := uint64(1); id < 400; id++ {
		leaf.Offer(Item{ID: id, Caller: fmt.Sprint(id % 3), Deadline: now + 20*ms, Priority: 1}, now)
		leaf.Next(now)
		leaf.Expire(now)
		now += 5 * ms
	}
	high := leaf.Condition(now).Threshold
	if high < 0.3 {
		t.Fatalf("threshold %.2f after two seconds of overload", high)
	}
	for range 400 {
		leaf.Expire(now)
		now += thresholdWindow
	}
	if low := leaf.Condition(now).Threshold; low != 0 {
		t.Fatalf("threshold %.2f long after the overload", low)
	}
}
