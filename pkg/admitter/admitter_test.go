package admitter

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

func newRequest(id uint64, caller string) Request {
	return Request{ID: id, Caller: caller, Deadline: time.Hour, Priority: 1}
}

// warmUpFully sends requests that the leaf answers in time until the limit has reached the number of slots.
func warmUpFully(t *testing.T, admitter *Admitter, now time.Duration) {
	t.Helper()
	for id := uint64(1_000_000); id < 1_000_200; id++ {
		admitter.Offer(newRequest(id, "warm"), now)
		next, _, ok := admitter.Next(now)
		if !ok {
			t.Fatalf("request %d: Next returned nothing to send, want a request", id)
		}
		admitter.Done(next.ID, Answered{}, now+5*ms)
	}
	if admitter.limit() != admitter.slots {
		t.Fatalf("limit is %d requests after 200 answers, want %d", admitter.limit(), admitter.slots)
	}
}

// sendAll offers count requests and returns how many of them are sent at once.
func sendAll(admitter *Admitter, count int, now time.Duration) int {
	sent := 0
	for id := range uint64(count) {
		admitter.Offer(newRequest(id+1, "c"), now)
	}
	for {
		if _, _, ok := admitter.Next(now); !ok {
			return sent
		}
		sent++
	}
}

func TestLimitGrowsAndResets(t *testing.T) {
	tests := []struct {
		name     string
		act      func(a *Admitter)
		wantSent int
	}{
		{"warm", func(*Admitter) {}, 6},
		{"restarted", func(a *Admitter) { a.OnRestart(time.Second) }, 1},
		{"broken connection", func(a *Admitter) {
			a.Offer(newRequest(1, "c"), 0)
			a.Next(0)
			a.Done(1, ConnectionFailed{}, time.Second)
		}, 0},
		{"shed", func(a *Admitter) { a.Offer(newRequest(1, "c"), 0); a.Next(0); a.Done(1, Shed{}, time.Second) }, 0},
		{"one slow answer", func(a *Admitter) { a.Offer(newRequest(1, "c"), 0); a.Next(0); a.Done(1, Answered{}, time.Second) }, 6},
		{"slow answers", func(a *Admitter) {
			for id := uint64(1); id <= 2; id++ {
				a.Offer(newRequest(id, "c"), 0)
				a.Next(0)
				a.Done(id, Answered{}, time.Second)
			}
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			admitter := New(6, 0)
			warmUpFully(t, admitter, 0)
			test.act(admitter)
			if got := sendAll(admitter, 20, time.Second); got != test.wantSent {
				t.Fatalf("got %d requests sent at once, want %d", got, test.wantSent)
			}
		})
	}
}

func TestNewAdmitterStartsAtLimitOne(t *testing.T) {
	if got := sendAll(New(6, 0), 20, 0); got != 1 {
		t.Fatalf("got %d requests sent at once to a leaf that may be cold, want 1", got)
	}
}

func TestSlowRequestsInFlightResetLimit(t *testing.T) {
	admitter := New(6, 0)
	warmUpFully(t, admitter, 0)
	for id := uint64(1); id <= 3; id++ {
		admitter.Offer(newRequest(id, "c"), 0)
		admitter.Next(0)
	}
	admitter.Offer(newRequest(9, "c"), 100*ms)
	if _, _, ok := admitter.Next(100 * ms); ok {
		t.Fatal("a request was sent while three were in flight for 20 times the usual latency, want none")
	}
}

func TestBackoffDoublesAndEnds(t *testing.T) {
	admitter := New(2, 0)
	now := time.Duration(0)
	backoff := minBackoff
	for id := uint64(1); id <= 4; id++ {
		admitter.Offer(newRequest(id, "c"), now)
		if _, _, ok := admitter.Next(now); !ok {
			t.Fatalf("round %d: nothing sent after the backoff, want one request", id)
		}
		admitter.Done(id, Shed{}, now)
		if got := admitter.Offer(newRequest(id+100, "c"), now); got != RefusedBackoff {
			t.Fatalf("round %d: got refusal %q during the backoff, want %q", id, got, RefusedBackoff)
		}
		if _, _, ok := admitter.Next(now + backoff - 1); ok {
			t.Fatalf("round %d: a request was sent before the backoff of %s ended", id, backoff)
		}
		now += backoff
		backoff *= 2
	}
}

func TestRequestWithoutAnswerKeepsItsSlot(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut{}, ConnectionFailed{}} {
		admitter := New(1, 0)
		admitter.Offer(Request{ID: 1, Deadline: 200 * ms, Priority: 1}, 0)
		admitter.Next(0)
		admitter.Done(1, outcome, ms)
		backoffEnd := ms + minBackoff
		admitter.Offer(newRequest(2, "c"), backoffEnd)
		if _, _, ok := admitter.Next(backoffEnd); ok {
			t.Fatalf("%T: the slot was reused while the leaf may still run the request", outcome)
		}
		if _, _, ok := admitter.Next(200*ms + deadlineGrace + 1); !ok {
			t.Fatalf("%T: the slot was not freed %s after the deadline", outcome, deadlineGrace)
		}
	}
}

func TestHandedOverRequestsKeepTheirSlots(t *testing.T) {
	admitter := New(4, 0, WithHandover(4, 5*ms, 3, 40*ms))
	if got := sendAll(admitter, 10, 0); got != 1 {
		t.Fatalf("got %d requests sent beside three of the previous owner, want 1", got)
	}
	if got := admitter.RemainingRunTime(0); got < 40*ms {
		t.Fatalf("requests may run for another %s, want at least 40ms", got)
	}
}

func TestQueueIsFairBetweenCallers(t *testing.T) {
	admitter := New(1, 0)
	for id := uint64(1); id <= 20; id++ {
		admitter.Offer(newRequest(id, "audit"), 0)
	}
	admitter.Offer(newRequest(100, "desk"), 0)
	for sent := 1; sent <= 3; sent++ {
		next, _, ok := admitter.Next(0)
		if !ok {
			t.Fatalf("nothing sent as request %d, want one of 21 queued requests", sent)
		}
		if next.Caller == "desk" {
			return
		}
		admitter.Done(next.ID, Answered{}, 0)
	}
	t.Fatal("caller desk was not served among the first 3 requests although caller audit had 20 queued before it")
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name    string
		setUp   func(a *Admitter)
		request Request
		want    Refusal
	}{
		{"accepted", func(*Admitter) {}, Request{ID: 1, Deadline: time.Second, Priority: 1}, NotRefused},
		{"deadline too near", func(*Admitter) {}, Request{ID: 1, Deadline: ms, Priority: 1}, RefusedDeadline},
		{"queue full", func(a *Admitter) { sendAll(a, queueLengthPerSlot*2, 0); sendAll(a, 2, 0) }, Request{ID: 9999, Deadline: time.Hour, Priority: 1}, RefusedQueueFull},
		{"low priority", func(a *Admitter) { a.threshold.value = 0.5 }, Request{ID: 1, Deadline: time.Second, Priority: 0.4}, RefusedPriority},
		{"hedge to a cold leaf", func(a *Admitter) { a.OnRestart(0) }, Request{ID: 1, Deadline: time.Second, Priority: 1, IsHedge: true}, RefusedCold},
		{"hedge to a busy leaf", func(a *Admitter) { sendAll(a, 2, 0) }, Request{ID: 99, Deadline: time.Second, Priority: 1, IsHedge: true}, RefusedBusy},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			admitter := New(2, 0)
			warmUpFully(t, admitter, 0)
			test.setUp(admitter)
			if got := admitter.Offer(test.request, 0); got != test.want {
				t.Fatalf("got refusal %q, want %q", got, test.want)
			}
		})
	}
}

func TestThresholdFollowsLoad(t *testing.T) {
	admitter := New(1, 0)
	now := time.Duration(0)
	for id := uint64(1); id < 400; id++ {
		admitter.Offer(Request{ID: id, Caller: fmt.Sprint(id % 3), Deadline: now + 20*ms, Priority: 1}, now)
		admitter.Next(now)
		admitter.Expire(now)
		now += 5 * ms
	}
	high := admitter.Condition(now).Threshold
	if high < 0.3 {
		t.Fatalf("threshold is %.2f after 2 s of overload, want at least 0.3", high)
	}
	for range 400 {
		admitter.Expire(now)
		now += thresholdWindow
	}
	if low := admitter.Condition(now).Threshold; low != 0 {
		t.Fatalf("threshold is %.2f after 40 s without load, want 0", low)
	}
}
