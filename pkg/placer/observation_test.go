package placer

import (
	"testing"
	"time"
)

const usual = 20 * time.Millisecond

// A slow leaf is seen by one instance after the other; each of them sends it a request every few seconds only.
func TestSlowLeafIsBelievedSlowElsewhere(t *testing.T) {
	cases := []struct {
		name string
		// answers are the times that requests to the leaf took, sent by different instances 400 ms apart.
		answers  []time.Duration
		wantSlow bool
	}{
		{"a pause is over before the others hear of it", []time.Duration{10 * usual}, false},
		{"slow for longer than a pause", []time.Duration{10 * usual, 10 * usual}, true},
		{"slow, then sound", []time.Duration{10 * usual, usual, usual, 10 * usual}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Minute
			observer := New(Fields{ID: "a"}, 0, 0)
			var news Observation
			known := false
			for i, took := range c.answers {
				instance := New(Fields{ID: "a"}, 0, 0)
				if known {
					instance.Take(news)
				}
				instance.OnSend(uint64(i), usual, now-took)
				instance.OnEnd(uint64(i), Answered, took, usual, now)
				if next, ok := instance.News(now); ok {
					news, known = next, true
					observer.Take(news)
				}
				now += 400 * time.Millisecond
			}
			if got := observer.slownessAt(now) > 1.5; got != c.wantSlow {
				t.Errorf("believed slow: %v (slowness %.2f), want %v", got, observer.slownessAt(now), c.wantSlow)
			}
		})
	}
}

func TestOneFaultIsNews(t *testing.T) {
	now := time.Minute
	instance, observer := New(Fields{ID: "a"}, 0, 0), New(Fields{ID: "a"}, 0, 0)
	other := New(Fields{ID: "b"}, 0, 0)
	instance.OnSend(1, usual, now)
	instance.OnEnd(1, Faulty, usual, usual, now)
	news, ok := instance.News(now)
	if !ok {
		t.Fatal("a fault is no news")
	}
	observer.Take(news)
	if leaf := Choose([]*Leaf{observer, other}, Wish{Now: now}); leaf != other {
		t.Error("another instance still prefers the leaf that failed")
	}
}

func TestOlderObservationIsNotBelieved(t *testing.T) {
	now := time.Minute
	observer := New(Fields{ID: "a"}, 0, 0)
	observer.OnSend(1, usual, now-usual)
	observer.OnEnd(1, Answered, usual, usual, now)
	observer.News(now)
	observer.Take(Observation{Slowness: 9, IsSlow: true, SlowFor: time.Second, SeenAt: now - time.Second})
	if slowness := observer.slownessAt(now); slowness > 1.5 {
		t.Errorf("an answer of now counts less than an observation of a second ago: slowness %.2f", slowness)
	}
}

func TestRecoveryIsNewsOnce(t *testing.T) {
	now := time.Minute
	instance := New(Fields{ID: "a"}, 0, 0)
	end := func(took time.Duration) bool {
		now += time.Second
		instance.OnSend(1, usual, now-took)
		instance.OnEnd(1, Answered, took, usual, now)
		_, ok := instance.News(now)
		return ok
	}
	if !end(10 * usual) {
		t.Error("a slow answer is no news")
	}
	if !end(usual) {
		t.Error("the recovery is no news")
	}
	if end(usual) {
		t.Error("a usual answer is news")
	}
}

// Leafs of many shards fall silent or turn slow for six seconds; each of many instances sends one of them a request now and
// then, and gives it up when the answer is due.
func TestSilentLeafStaysBehindOthers(t *testing.T) {
	const due = 6 * usual
	fields := Fields{ID: "silent", DataCentre: "a", Slots: 2}
	now := time.Minute
	known := New(fields, 0, 0)
	for range 3 {
		now += 400 * time.Millisecond
		instance := New(fields, 0, 0)
		if news, ok := known.News(now - due); ok {
			instance.Take(news)
		}
		instance.OnSend(1, usual, now-due)
		instance.OnLate(1, due, usual, now)
		if !instance.Away(now) {
			t.Fatal("a leaf that answered nothing until the answer was due is asked again at once")
		}
		known = instance
	}
	news, ok := known.News(now)
	if !ok {
		t.Fatal("a silent leaf is no news")
	}
	observer, other := New(fields, 0, 0), New(Fields{ID: "other", DataCentre: "b", Slots: 2}, 0, 0)
	observer.Take(news)
	other.SetHome(false)
	for _, busy := range []uint64{1, 2} {
		other.OnSend(busy, usual, now+3*time.Second)
	}
	if leaf := Choose([]*Leaf{observer, other}, Wish{Now: now + 3*time.Second, DataCentre: "a"}); leaf != other {
		t.Errorf("three seconds later the silent leaf is preferred to a busy one (slowness %.1f)", observer.slownessAt(now+3*time.Second))
	}
}

func TestLeafThatAnswersOthersIsNotLeftAlone(t *testing.T) {
	leaf := New(Fields{ID: "a", Slots: 2}, 0, 0)
	now := time.Minute
	leaf.OnSend(1, usual, now)
	leaf.OnSend(2, usual, now)
	leaf.OnEnd(2, Answered, usual, usual, now+usual)
	leaf.OnLate(1, 6*usual, usual, now+6*usual)
	if leaf.Away(now + 6*usual) {
		t.Error("a leaf that answered another request meanwhile is left alone")
	}
}

// Leafs of many shards are gone and their addresses belong to others, while the list still has them: one refusal is enough
// for all instances.
func TestReplacedLeafIsLeftAloneElsewhere(t *testing.T) {
	now := time.Minute
	instance, observer := New(Fields{ID: "a"}, 0, 0), New(Fields{ID: "a"}, 0, 0)
	other := New(Fields{ID: "b"}, 0, 0)
	other.OnSend(1, usual, now)
	instance.OnSend(1, usual, now)
	instance.OnEnd(1, Replaced, usual, usual, now)
	news, ok := instance.News(now)
	if !ok || !news.IsGone {
		t.Fatalf("got %+v (news: %v), want that the leaf is gone", news, ok)
	}
	observer.Take(news)
	if leaf := Choose([]*Leaf{observer, other}, Wish{Now: now + time.Second}); leaf != other {
		t.Error("another instance still asks the leaf whose address belongs to another")
	}
	if observer.Away(now + 2*goneFor) {
		t.Error("the leaf is left alone for good by another instance's word")
	}
}
