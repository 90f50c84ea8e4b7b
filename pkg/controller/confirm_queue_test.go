package controller

import (
	"testing"
	"time"
)

// Load pattern: 60 entry instances renew at each control instance, one each 7 ms, and all of them start at once.
func TestConfirmationsServeManyRenewals(t *testing.T) {
	const renewalEvery, span = 7 * time.Millisecond, 2 * time.Second
	cases := []struct {
		name        string
		from        time.Duration
		most, least int
	}{
		{"just after the start, each at once", 0, int(span/renewalEvery) + 1, int(span / renewalEvery)},
		{"later, in batches", time.Minute, int(span/confirmPause) + 1, int(span/confirmPause) * 3 / 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var pacer confirmPacer
			pacer.take(0)
			asked, longest := 0, time.Duration(0)
			waits := time.Duration(-1)
			for now := c.from; now < c.from+span; now += renewalEvery {
				if waits < 0 {
					waits = now
				}
				if pacer.take(now) {
					asked++
					longest = max(longest, now-waits)
					waits = -1
				}
			}
			if asked > c.most || asked < c.least {
				t.Errorf("%d confirmations, want %d to %d", asked, c.least, c.most)
			}
			if longest > confirmPause+renewalEvery {
				t.Errorf("a renewal waited %v", longest)
			}
		})
	}
}

func TestALoneRenewalIsConfirmedAtOnce(t *testing.T) {
	var pacer confirmPacer
	for now := time.Duration(0); now < time.Minute; now += 400 * time.Millisecond {
		if !pacer.take(now) {
			t.Fatalf("the renewal at %v waits", now)
		}
	}
}
