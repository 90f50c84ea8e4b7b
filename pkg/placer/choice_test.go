package placer

import (
	"testing"
	"time"
)

// Half of the leafs lose two answers in five for four seconds: one lost answer is reason enough to ask a sound leaf of
// another data centre instead, without a connection to it.
func TestLeafThatLosesAnswersIsAvoided(t *testing.T) {
	cases := []struct {
		name string
		// outcomes are the ends of requests to the failing leaf, one after the other.
		outcomes []Outcome
		after    time.Duration
		once     bool
		want     string
	}{
		{"nothing was lost", []Outcome{Answered}, 0, false, "failing"},
		{"just after a lost answer", []Outcome{Faulty}, 0, false, "sound"},
		{"three seconds later", []Outcome{Faulty}, 3 * time.Second, false, "sound"},
		{"after an answer in between", []Outcome{Faulty, Answered}, 2 * time.Second, false, "sound"},
		{"long after", []Outcome{Faulty}, 30 * time.Second, false, "failing"},
		{"a request that must not run twice, after several answers", []Outcome{Faulty, Answered, Answered, Answered}, 2 * time.Second, true, "sound"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Minute
			failing := New(Fields{ID: "failing", DataCentre: "a", Slots: 2}, 0, 0)
			sound := New(Fields{ID: "sound", DataCentre: "b", Slots: 2}, 0, 0)
			sound.SetHome(false)
			for id, outcome := range c.outcomes {
				failing.OnSend(uint64(id), usual, now)
				failing.OnEnd(uint64(id), outcome, usual, usual, now)
			}
			wish := Wish{Now: now + c.after, DataCentre: "a", Once: c.once}
			if got := Choose([]*Leaf{failing, sound}, wish).Fields().ID; got != c.want {
				t.Errorf("got the %s leaf, want the %s one", got, c.want)
			}
		})
	}
}

func TestChoose(t *testing.T) {
	now := time.Minute
	leaf := func(id string, change func(l *Leaf)) *Leaf {
		l := New(Fields{ID: id, DataCentre: "a", Slots: 2}, 0, now-time.Minute)
		if change != nil {
			change(l)
		}
		return l
	}
	busy := func(l *Leaf) { l.OnSend(1, usual, now) }
	cold := func(l *Leaf) { l.SetCold(now + time.Second) }
	away := func(l *Leaf) {
		l.OnSend(1, usual, now-usual)
		l.OnEnd(1, Unreachable, usual, usual, now)
	}
	gone := func(l *Leaf) {
		l.OnSend(1, usual, now-usual)
		l.OnEnd(1, Replaced, usual, usual, now)
	}
	stalled := func(l *Leaf) { l.OnSend(1, usual, now-time.Second) }
	leaving := func(l *Leaf) { l.Update(Fields{ID: l.fields.ID, DataCentre: "a", Slots: 2, Leaving: true}, 0, now) }
	longLeaving := func(l *Leaf) {
		l.Update(Fields{ID: l.fields.ID, DataCentre: "a", Slots: 2, Leaving: true}, 0, now-leavingGrace-time.Millisecond)
	}
	out := func(l *Leaf) { l.Update(Fields{ID: l.fields.ID, DataCentre: "out", Slots: 2}, 0, now) }
	cases := []struct {
		name  string
		first func(l *Leaf)
		other func(l *Leaf)
		sound bool
		want  string
	}{
		{"the one with less work", busy, nil, false, "other"},
		{"a busy one before a stalled one", stalled, busy, false, "other"},
		{"a stalled one before a cold one", cold, stalled, false, "other"},
		{"a cold one before one that could not be reached", away, cold, false, "other"},
		{"one that could not be reached before a leaving one", leaving, away, false, "other"},
		{"a leaving one before none", gone, leaving, false, "other"},
		{"none that left long ago", gone, longLeaving, false, ""},
		{"none of a data centre that is out", gone, out, false, ""},
		{"no cold one for a second request", cold, gone, true, ""},
		{"no stalled one for a second request", stalled, gone, true, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			if l := Choose([]*Leaf{leaf("first", c.first), leaf("other", c.other)}, Wish{
				Now: now, DataCentre: "a", Sound: c.sound, Out: func(centre string) bool { return centre == "out" },
			}); l != nil {
				got = l.Fields().ID
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Bytes between data centres are paid for: an own leaf that is a little slower, or has a request, is asked all the same.
func TestOwnDataCentreIsPreferredWhileInTime(t *testing.T) {
	cases := []struct {
		name     string
		slowness float64
		running  int
		want     string
	}{
		{"as fast", 1, 0, "own"},
		{"a little slower", 1.6, 0, "own"},
		{"one request ahead", 1, 1, "own"},
		{"much slower", 4, 0, "distant"},
		{"full", 1, 6, "distant"},
	}
	for _, c := range cases {
		now := time.Minute
		own, distant := New(Fields{ID: "own", DataCentre: "a", Slots: 2}, 0, 0), New(Fields{ID: "distant", DataCentre: "b", Slots: 2}, 0, 0)
		own.slowness, own.slowAt = c.slowness, now
		for id := range c.running {
			own.OnSend(uint64(id), usual, now)
		}
		if got := Choose([]*Leaf{distant, own}, Wish{Now: now, DataCentre: "a"}).Fields().ID; got != c.want {
			t.Errorf("%s: the %s leaf, want the %s one", c.name, got, c.want)
		}
	}
}
