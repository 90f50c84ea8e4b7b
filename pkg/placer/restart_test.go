package placer

import (
	"testing"
	"time"
)

// The list of leafs ends what a former process of a leaf stated, but only if it was read so late that it would show that the leaf leaves.
func TestListEndsStatementsOfFormerProcess(t *testing.T) {
	const stated = time.Minute
	ready, draining := Fields{ID: "1", Slots: 2, Version: "v1"}, Fields{ID: "1", Slots: 2, Version: "v1", IsDraining: true}
	other, unknown := Fields{ID: "1", Slots: 2, Version: "v2"}, Fields{ID: "1", Slots: 2}
	cases := []struct {
		name string
		// lists are read one after the other, the last one at readAt.
		lists      []Fields
		readAt     time.Duration
		wantClosed bool
		// wantRest is set if the leaf is still taken to rest.
		wantRest bool
	}{
		{"read before the statement", []Fields{ready}, stated - time.Second, true, true},
		{"read soon after the statement", []Fields{ready}, stated + maxListLag - time.Millisecond, true, true},
		{"read so late that it would show that the leaf leaves", []Fields{ready}, stated + maxListLag, false, false},
		{"the leaf is listed as draining", []Fields{draining}, stated + time.Hour, true, true},
		{"the leaf was listed as draining", []Fields{draining, ready}, stated + time.Second, false, false},
		{"the leaf was listed as draining, read before the statement", []Fields{draining, ready}, stated - time.Second, true, false},
		{"another version", []Fields{other}, stated + time.Second, false, false},
		{"a version that is not known for a while", []Fields{unknown, ready}, stated + time.Second, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := stated + 2*time.Hour
			l := New(ready, 0, 0)
			l.OnRestRequested(now + time.Hour)
			l.OnLeavingStated(true, stated-time.Second, stated-time.Second)
			l.OnLeavingStated(true, stated, stated)
			for _, fields := range c.lists {
				l.Update(fields, 0, c.readAt, now-time.Hour)
			}
			if got := l.IsClosed(now); got != c.wantClosed {
				t.Errorf("got closed %v, want %v", got, c.wantClosed)
			}
			if got := l.IsResting(now); got != c.wantRest {
				t.Errorf("got resting %v, want %v", got, c.wantRest)
			}
		})
	}
}

// A leaf lost its address to another one for a while and got it back while the list could not be read: its identifier and address on the
// list stayed the same, and it was left out for good.
func TestListEndsReplacement(t *testing.T) {
	const replaced = time.Minute
	cases := []struct {
		name   string
		readAt time.Duration
		want   bool
	}{
		{"the list may still have the leaf that is gone", replaced + maxListLag - time.Millisecond, true},
		{"the list would have dropped it", replaced + maxListLag, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(Fields{ID: "1", Slots: 2}, 0, 0)
			l.OnSend(1, time.Millisecond, replaced)
			l.OnEnd(1, Replaced, time.Millisecond, time.Millisecond, replaced)
			if got := l.OnListed(c.readAt); got == c.want {
				t.Errorf("got %v, want %v", got, !c.want)
			}
			if got := l.IsReplaced(); got != c.want {
				t.Errorf("got replaced %v, want %v", got, c.want)
			}
		})
	}
}
