package placer

import (
	"testing"
	"time"
)

// Guards against repeated failures when half of the leafs lose two answers in five for four seconds. After a single lost
// answer a healthy leaf in another data centre must be preferred, even without an open connection to it.
func TestChooseAvoidsLeafAfterFailure(t *testing.T) {
	cases := []struct {
		name string
		// outcomes are those of consecutive requests to the failing leaf.
		outcomes      []Outcome
		elapsed       time.Duration
		nonIdempotent bool
		want          string
	}{
		{"no failure", []Outcome{Answered}, 0, false, "failing"},
		{"immediately after a failure", []Outcome{Failed}, 0, false, "healthy"},
		{"three seconds after a failure", []Outcome{Failed}, 3 * time.Second, false, "healthy"},
		{"two seconds after a failure and an answer", []Outcome{Failed, Answered}, 2 * time.Second, false, "healthy"},
		{"30 seconds after a failure", []Outcome{Failed}, 30 * time.Second, false, "failing"},
		{"non-idempotent request two seconds after a failure and three answers", []Outcome{Failed, Answered, Answered, Answered}, 2 * time.Second, true, "healthy"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Minute
			failing := New(Fields{ID: "failing", DataCentre: "a", Slots: 2}, 0, 0)
			healthy := New(Fields{ID: "healthy", DataCentre: "b", Slots: 2}, 0, 0)
			healthy.SetInSubset(false)
			for id, outcome := range c.outcomes {
				failing.OnSend(uint64(id), typicalLatency, now)
				failing.OnEnd(uint64(id), outcome, typicalLatency, typicalLatency, now)
			}
			criteria := Criteria{Now: now + c.elapsed, DataCentre: "a", IsNonIdempotent: c.nonIdempotent}
			if got := Choose([]*Leaf{failing, healthy}, criteria).Fields().ID; got != c.want {
				t.Errorf("got the %s leaf, want the %s leaf", got, c.want)
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
	busy := func(l *Leaf) { l.OnSend(1, typicalLatency, now) }
	warmingUp := func(l *Leaf) { l.ExtendWarmUp(now + time.Second) }
	ejected := func(l *Leaf) {
		l.OnSend(1, typicalLatency, now-typicalLatency)
		l.OnEnd(1, Unreachable, typicalLatency, typicalLatency, now)
	}
	replaced := func(l *Leaf) {
		l.OnSend(1, typicalLatency, now-typicalLatency)
		l.OnEnd(1, Replaced, typicalLatency, typicalLatency, now)
	}
	stalled := func(l *Leaf) { l.OnSend(1, typicalLatency, now-time.Second) }
	draining := func(l *Leaf) {
		l.Update(Fields{ID: l.fields.Load().ID, DataCentre: "a", Slots: 2, IsDraining: true}, 0, now, now)
	}
	foundDraining := func(l *Leaf) {
		*l = *New(Fields{ID: l.fields.Load().ID, DataCentre: "a", Slots: 2, IsDraining: true}, 0, now)
	}
	drainingPastGrace := func(l *Leaf) {
		l.Update(Fields{ID: l.fields.Load().ID, DataCentre: "a", Slots: 2, IsDraining: true}, 0, now-DrainingGrace-time.Millisecond, now-DrainingGrace-time.Millisecond)
	}
	outOfService := func(l *Leaf) { l.Update(Fields{ID: l.fields.Load().ID, DataCentre: "out", Slots: 2}, 0, now, now) }
	cases := []struct {
		name        string
		first       func(l *Leaf)
		other       func(l *Leaf)
		healthyOnly bool
		want        string
	}{
		{"idle leaf before busy leaf", busy, nil, false, "other"},
		{"busy leaf before stalled leaf", stalled, busy, false, "other"},
		{"stalled leaf before leaf in warm-up", warmingUp, stalled, false, "other"},
		{"leaf in warm-up before unreachable leaf", ejected, warmingUp, false, "other"},
		{"unreachable leaf before draining leaf", draining, ejected, false, "other"},
		{"draining leaf as last resort", replaced, draining, false, "other"},
		{"no leaf that has been draining for longer than the grace period", replaced, drainingPastGrace, false, ""},
		{"no leaf that was draining when this instance first saw it", replaced, foundDraining, false, ""},
		{"no leaf in a data centre that is out of service", replaced, outOfService, false, ""},
		{"no leaf in warm-up if healthy leafs only", warmingUp, replaced, true, ""},
		{"no stalled leaf if healthy leafs only", stalled, replaced, true, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			if l := Choose([]*Leaf{leaf("first", c.first), leaf("other", c.other)}, Criteria{
				Now: now, DataCentre: "a", RequiresHealthy: c.healthyOnly, IsOutOfService: func(dataCentre string) bool { return dataCentre == "out" },
			}); l != nil {
				got = l.Fields().ID
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Traffic between data centres is billed, so a local leaf must be preferred even if it is slightly slower or has one request
// in progress.
func TestChoosePrefersLocalDataCentre(t *testing.T) {
	cases := []struct {
		name     string
		slowness float64
		running  int
		want     string
	}{
		{"equally fast", 1, 0, "local"},
		{"slightly slower", 1.6, 0, "local"},
		{"one request in progress", 1, 1, "local"},
		{"much slower", 4, 0, "remote"},
		{"more requests than slots", 1, 6, "remote"},
	}
	for _, c := range cases {
		now := time.Minute
		local, remote := New(Fields{ID: "local", DataCentre: "a", Slots: 2}, 0, 0), New(Fields{ID: "remote", DataCentre: "b", Slots: 2}, 0, 0)
		local.slowness, local.slownessUpdatedAt = c.slowness, now
		for id := range c.running {
			local.OnSend(uint64(id), typicalLatency, now)
		}
		if got := Choose([]*Leaf{remote, local}, Criteria{Now: now, DataCentre: "a"}).Fields().ID; got != c.want {
			t.Errorf("%s: got the %s leaf, want the %s leaf", c.name, got, c.want)
		}
	}
}
