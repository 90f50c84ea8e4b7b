package controller

import (
	"testing"
	"time"
)

// Guards against one confirmation per renewal under load, and against limiting confirmations while entry instances start. The
// load is that of 60 entry instances at one control instance: they start together and then send a renewal every 7 ms.
func TestConfirmRequestsAreRateLimited(t *testing.T) {
	const renewalInterval, period = 7 * time.Millisecond, 2 * time.Second
	cases := []struct {
		name                     string
		start                    time.Duration
		maxConfirms, minConfirms int
	}{
		{"during startup, no limit", 0, int(period/renewalInterval) + 1, int(period / renewalInterval)},
		{"after startup, limited", time.Minute, int(period/minConfirmInterval) + 1, int(period/minConfirmInterval) * 3 / 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var limiter confirmLimiter
			limiter.allow(0)
			confirms, longestWait := 0, time.Duration(0)
			waitingSince := time.Duration(-1)
			for now := c.start; now < c.start+period; now += renewalInterval {
				if waitingSince < 0 {
					waitingSince = now
				}
				if limiter.allow(now) {
					confirms++
					longestWait = max(longestWait, now-waitingSince)
					waitingSince = -1
				}
			}
			if confirms > c.maxConfirms || confirms < c.minConfirms {
				t.Errorf("got %d confirmation requests, want %d to %d", confirms, c.minConfirms, c.maxConfirms)
			}
			if longestWait > minConfirmInterval+renewalInterval {
				t.Errorf("got a longest wait of %v for a renewal, want at most %v", longestWait, minConfirmInterval+renewalInterval)
			}
		})
	}
}

func TestInfrequentRenewalsAreConfirmedImmediately(t *testing.T) {
	var limiter confirmLimiter
	for now := time.Duration(0); now < time.Minute; now += 400 * time.Millisecond {
		if !limiter.allow(now) {
			t.Fatalf("renewal at %v: got a delayed confirmation, want an immediate one", now)
		}
	}
}
