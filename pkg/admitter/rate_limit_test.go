package admitter

import (
	"testing"
	"time"
)

// A leaf states a rate while requests come at many times that rate. The leaf must get no more, queued requests must be sent as
// the rate allows, and those that cannot be sent before their deadline must be refused at once.
func TestAdmitterKeepsStatedRate(t *testing.T) {
	const (
		rate    = 5.0
		timeout = 400 * ms
		window  = 4 * time.Second
		end     = 20 * time.Second
		step    = 5 * ms
	)
	a := New(6, 0)
	warmUpFully(t, a, 0)
	a.OnRateLimit(true, rate, 0, step)
	var sent []time.Duration
	refused, id := 0, uint64(0)
	for now := time.Duration(step); now < end; now += step {
		id++
		request := newRequest(id, "c")
		request.Deadline = now + timeout
		if refusal := a.Offer(request, now); refusal != NotRefused {
			refused++
		}
		a.Expire(now)
		for {
			next, _, ok := a.Next(now)
			if !ok {
				break
			}
			sent = append(sent, now)
			a.Done(next.ID, Answered{}, now+5*ms)
		}
	}
	for first, from := range sent {
		count := 0
		for _, at := range sent[first:] {
			if at < from+window {
				count++
			}
		}
		if limit := int(1.5*rate*window.Seconds()) + 5; count > limit {
			t.Fatalf("got %d requests in %v, want at most %d", count, window, limit)
		}
	}
	if want := int(0.9 * rate * end.Seconds()); len(sent) < want {
		t.Errorf("got %d requests sent, want at least %d", len(sent), want)
	}
	if len(sent)+refused < int(id)-int(rate) {
		t.Errorf("got %d sent and %d refused at once of %d, want all but a few of them", len(sent), refused, id)
	}
	a.OnRateLimit(false, 0, end, end)
	if got := sendAll(a, 6, end); got != 6 {
		t.Errorf("got %d requests sent at once after the end of the limit, want 6", got)
	}
}

func TestRateLimitedLeafGetsNoHedge(t *testing.T) {
	a := New(6, 0)
	warmUpFully(t, a, 0)
	a.OnRateLimit(true, 5, 0, ms)
	hedge := newRequest(1, "c")
	hedge.IsHedge = true
	if got := a.Offer(hedge, time.Second); got != RefusedRateLimit {
		t.Errorf("got %q, want %q", got, RefusedRateLimit)
	}
}
